package settings

import (
	"net"
	"time"

	"github.com/figlb/figlb/rollout"
)

// Host is the settings of a process that gets them from the platform: what it needs to
// know about its host and its site.
type Host struct {
	Name string
	Zone string
	IP   string
	// Seeds are the internal addresses (see InternalAddress) of some controllers. They may be out
	// of date.
	Seeds []string
	// Bootstrap is true only at the first start of the whole site.
	Bootstrap bool
	DataDir   string // empty if the host has no disk
	// InternalAddress is the address at which other figlb processes reach this one (package wire).
	InternalAddress string
	// FrontendAddress, ReadinessAddress and ControlAddress are the addresses for callers, for the
	// readiness checks of the load balancer and for operators; empty if the process does not
	// serve them.
	FrontendAddress  string
	ReadinessAddress string
	ControlAddress   string
	MemoryMB         int
	MaxFDs           int // file descriptors; 0: not stated
	DiskMB           int
	// ToleratedLosses is the number of hosts with a disk whose simultaneous loss the site must
	// tolerate.
	ToleratedLosses int
	// StopGracePeriod is the time between the signal to stop and the forced termination of the
	// process.
	StopGracePeriod time.Duration
	// Exposure bounds what a bad software version may get during a roll-out.
	Exposure rollout.Bounds
	// RollsOut is set if the platform states such bounds: versions of targets change by roll-outs.
	RollsOut bool
	// BindIP is the IP address to listen on in place of the host's own, for hosts behind
	// forwarded ports; if empty, the process listens on the address at which others reach
	// it.
	BindIP string
	// TargetsAddress is the address of the platform's API that lists the targets.
	TargetsAddress string
	ClientLimits   ClientLimits
	// Fields are the fields of the settings file, to tell what a later reading changes.
	Fields []Field
}

// Listen returns the address to listen on for clients that connect to addr.
func (h *Host) Listen(addr string) string {
	_, port, err := net.SplitHostPort(addr)
	if h.BindIP == "" || err != nil {
		return addr
	}
	return net.JoinHostPort(h.BindIP, port)
}
