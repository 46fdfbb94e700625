package settings

import (
	"net"
	"time"
)

// Host is the settings of a process that gets them from the platform: what it needs to
// know about its host and its site.
type Host struct {
	Name string
	Zone string
	IP   string
	// Seeds are the internal addresses (see Internal) of some controllers. They may be out
	// of date.
	Seeds []string
	// Bootstrap is true only at the first start of the whole site.
	Bootstrap bool
	DataDir   string // empty if the host has no disk
	// Internal is the address at which other figlb processes reach this one (package wire).
	Internal string
	// Front, Readiness and Control are the addresses for callers, for the readiness checks
	// of the load balancer and for operators; empty if the process does not serve them.
	Front     string
	Readiness string
	Control   string
	MemoryMB  int
	DiskMB    int
	// LostMembers is the number of hosts with a disk whose simultaneous loss the site must
	// tolerate.
	LostMembers int
	// StopGrace is the time between the signal to stop and the forced termination of the
	// process.
	StopGrace time.Duration
	// Bind is the IP address to listen on in place of the host's own, for hosts behind
	// forwarded ports; if empty, the process listens on the address at which others reach
	// it.
	Bind string
	// TargetList is the address of the platform's API that lists the targets.
	TargetList string
}

// Listen returns the address to listen on for clients that connect to addr.
func (h *Host) Listen(addr string) string {
	_, port, err := net.SplitHostPort(addr)
	if h.Bind == "" || err != nil {
		return addr
	}
	return net.JoinHostPort(h.Bind, port)
}
