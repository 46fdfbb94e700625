// Package hostlist is a stand-in for the platform's list of live and leaving hosts. What
// it shows lags behind what was set.
package hostlist
