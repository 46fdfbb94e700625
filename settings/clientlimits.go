package settings

import "time"

// ClientLimits bound what clients that are not controlled can use of a process. A value of 0 stands for
// the default, which WithDefaults derives from the memory and the descriptors of the host.
type ClientLimits struct {
	// MemoryMB bounds what the requests and frames in arrival hold together.
	MemoryMB int
	// Connections bounds the connections of callers (of operators on a controller), ConnectionsPerSource
	// those from one address, InternalConnections those of other processes, and AdminConnections those to the
	// readiness address, and to the metrics.
	Connections          int
	ConnectionsPerSource int // 0: no bound, since the load balancer may stand for all callers
	InternalConnections  int
	AdminConnections     int
	// HeadLines bounds the lines of a request's head.
	HeadLines int
	// BodyStall bounds the time without progress of a request's body, and BodyPace its bytes per second on
	// average after that time.
	BodyStall time.Duration
	BodyPace  int64
	// ReadStall bounds the time in which a client reads nothing of its response.
	ReadStall time.Duration
	// RelayKB bounds what a host keeps of one response for a caller that reads slower than the target sends.
	RelayKB int
}

const (
	// memoryPercent is the part of the host's memory for requests in arrival. Their buffers double, and the
	// garbage collector needs room beside them, so they cost up to three times as much.
	memoryPercent = 15
	// connectionMemoryPercent is the part of the host's memory for callers' connections, each of which
	// costs about connectionKB: the buffers of net/http and the stacks of its goroutines.
	connectionMemoryPercent = 25
	connectionKB            = 24
	// callerPercent, internalPercent and adminPercent are the parts of the descriptors for callers, for other
	// processes and for each of the readiness address and the metrics. The rest is for connections to targets and
	// controllers, and for files.
	callerPercent     = 40
	internalPercent   = 20
	adminPercent      = 5
	minAdminConns     = 8
	maxAdminConns     = 64
	defaultHeadLines  = 200
	defaultBodyStall  = 3 * time.Second
	defaultBodyPace   = 1 << 10
	defaultReadStall  = 20 * time.Second
	defaultRelayKB    = 1 << 10
	unknownMemoryMB   = 1 << 10
	unknownMaxFDs     = 4 << 10
	percent           = 100
	kilobytesPerMB    = 1 << 10
	controllerPercent = 60
)

// WithDefaults returns the limits of a host with the given memory and descriptors; 0: not stated. On a
// controller most connections are those of other processes.
func (c ClientLimits) WithDefaults(memoryMB, maxFDs int, controller bool) ClientLimits {
	if memoryMB <= 0 {
		memoryMB = unknownMemoryMB
	}
	if maxFDs <= 0 {
		maxFDs = unknownMaxFDs
	}
	callers, internal := callerPercent, internalPercent
	if controller {
		callers, internal = internalPercent, controllerPercent
	}
	byMemory := memoryMB * kilobytesPerMB * connectionMemoryPercent / percent / connectionKB
	setDefault(&c.MemoryMB, max(memoryMB*memoryPercent/percent, 1))
	setDefault(&c.Connections, max(min(maxFDs*callers/percent, byMemory), 1))
	setDefault(&c.InternalConnections, max(maxFDs*internal/percent, 1))
	setDefault(&c.AdminConnections, min(max(maxFDs*adminPercent/percent, minAdminConns), maxAdminConns))
	setDefault(&c.HeadLines, defaultHeadLines)
	setDefault(&c.BodyStall, defaultBodyStall)
	setDefault(&c.BodyPace, defaultBodyPace)
	setDefault(&c.ReadStall, defaultReadStall)
	setDefault(&c.RelayKB, defaultRelayKB)
	return c
}

func setDefault[T int | int64 | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}
