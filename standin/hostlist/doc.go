// Package hostlist is a stand-in for the platform's list of live and leaving hosts. A
// change of the list becomes visible after a configurable delay.
package hostlist
