// Package site starts a small deployment of figlb on loopback addresses for the review's cases:
// controllers, gateways and stores as separate processes with the commands of the deploy file,
// and stand-ins for the platform's list of targets, the targets and the clients.
package site
