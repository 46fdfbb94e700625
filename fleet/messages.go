package fleet

import "time"

// Replicated groups of the controllers.
const (
	DocumentGroup uint32 = 0
	LedgerGroup   uint32 = 1
)

// Wire methods.
const (
	MethodPoll    = "fleet.poll"
	MethodRate    = "fleet.rate"
	MethodPut     = "document.put"
	MethodGet     = "document.get"
	MethodZone    = "document.zone"
	MethodHosts   = "fleet.hosts"
	MethodContact = "fleet.contact" // answered by the leader and by gateways
	MethodReserve = "ledger.reserve"
	MethodSettle  = "ledger.settle"
	MethodProgram = "ledger.program"
)

// Kinds of hosts.
const (
	KindGateway = "gateway"
	KindStore   = "store"
)

// PollRequest confirms what a host holds and reports what it does.
type PollRequest struct {
	Host string `msgpack:"h"`
	Kind string `msgpack:"k"`
	Zone string `msgpack:"z"`
	// Address is where a gateway answers other gateways; empty: nowhere.
	Address string `msgpack:"a,omitempty"`
	Holds
	// InFlight counts the host's requests in progress by target.
	InFlight map[string]int32 `msgpack:"f,omitempty"`
	// Outcomes counts the requests that have ended since the last poll, by target.
	Outcomes map[string]Outcomes `msgpack:"u,omitempty"`
	// Want is the number of requests by organisation that the host wants to admit soon.
	Want map[string]float64 `msgpack:"w,omitempty"`
	// Crashes names digests of requests after which a target went down, since the last poll.
	Crashes []uint64 `msgpack:"c,omitempty"`
	Leaving bool     `msgpack:"l,omitempty"`
	// IdlePace is the time between events of idle engines by service, in ms; empty: as reported
	// before, or not measured yet.
	IdlePace map[string]float64 `msgpack:"e,omitempty"`
	// WantPace and WantPeers ask for the paces and peers of the answer.
	WantPace  bool `msgpack:"ep,omitempty"`
	WantPeers bool `msgpack:"op,omitempty"`
}

// Holds tells what a host has of each thing that polls bring up to date, so that nothing is
// sent again that has not changed. Zero values: nothing yet.
type Holds struct {
	Version uint64 `msgpack:"v"` // of the document
	Marks   uint64 `msgpack:"m"` // of the zones out of service
	Targets uint64 `msgpack:"t"` // digest of the list of targets
	Members uint64 `msgpack:"p"` // digest of the members' addresses
	Blocked uint64 `msgpack:"b"` // digest of the blocked requests
}

// Learn takes over what an answer has brought. Version and Marks are left to the host, which
// may refuse a document.
func (h *Holds) Learn(reply *PollReply) {
	if reply.Targets != nil {
		h.Targets = reply.Targets.Digest
	}
	if len(reply.Members) > 0 {
		h.Members = DigestStrings(reply.Members)
	}
	if reply.BlockedChanged {
		h.Blocked = DigestNumbers(reply.Blocked)
	}
}

// PollReply holds what has changed for the host that polls.
type PollReply struct {
	Members  []string `msgpack:"p,omitempty"` // empty: unchanged
	Version  uint64   `msgpack:"v"`
	Document []byte   `msgpack:"d,omitempty"`
	Marks    uint64   `msgpack:"m"`
	ZonesOut []string `msgpack:"z,omitempty"`
	// Targets is what has changed of the list of targets; nil: nothing.
	Targets *TargetChange `msgpack:"t,omitempty"`
	// Loads holds the requests in flight from all gateways, the one that polls included, at
	// each target in the order of the ids; empty: not told this time.
	Loads    Loads `msgpack:"f,omitempty"`
	Gateways int   `msgpack:"g"`
	// Unsound is the share of requests, in percent, that failed at targets for the gateways of
	// the same availability zone; targets that fail few are left out.
	Unsound map[string]uint8 `msgpack:"u,omitempty"`
	Grants  map[string]Grant `msgpack:"r,omitempty"`
	// Blocked lists digests of requests that crash their targets if BlockedChanged is set.
	Blocked        []uint64 `msgpack:"b,omitempty"`
	BlockedChanged bool     `msgpack:"bc,omitempty"`
	// IdlePace is the least that the other gateways report, for one that asks.
	IdlePace map[string]float64 `msgpack:"e,omitempty"`
	// Peers holds addresses of a few other gateways, chosen at random, for one that asks.
	Peers []string `msgpack:"o,omitempty"`
}

// ContactReply tells whether a host is in touch with the leader.
type ContactReply struct {
	InTouch bool `msgpack:"t"`
}

// RateRequest asks for the admission of requests of one organisation.
type RateRequest struct {
	Host string  `msgpack:"h"`
	Org  string  `msgpack:"o"`
	Want float64 `msgpack:"w"`
	// Fresh is the number of requests besides that may be of new programs. They are granted
	// only while the rate can bear new programs.
	Fresh float64 `msgpack:"f,omitempty"`
}

// Grant is a number of requests that a host may admit.
type Grant struct {
	Tokens float64 `msgpack:"t"`
	// Wait is the time until the rate has one more token, where Tokens is below 1.
	Wait time.Duration `msgpack:"w,omitempty"`
	// Recover is the time until the rate can bear new programs; 0: it can now.
	Recover time.Duration `msgpack:"r,omitempty"`
}

// PutRequest stores a version of the document.
type PutRequest struct {
	Version uint64 `msgpack:"v"`
	Body    []byte `msgpack:"b"`
}

// PutReply tells the version in force.
type PutReply struct {
	Version uint64 `msgpack:"v"`
}

// GetReply is the newest document.
type GetReply struct {
	Version uint64 `msgpack:"v"`
	Body    []byte `msgpack:"b"`
}

// ZoneRequest takes an availability zone out of service or back.
type ZoneRequest struct {
	Zone string `msgpack:"z"`
	Out  bool   `msgpack:"o"`
}

// HostsReply lists the hosts that poll. Settled is false while a new leader may not have
// heard of all of them yet.
type HostsReply struct {
	Hosts   []Host `msgpack:"h"`
	Settled bool   `msgpack:"s"`
}

// Host is a host that polls.
type Host struct {
	Name string `msgpack:"n"`
	Kind string `msgpack:"k"`
	Zone string `msgpack:"z"`
}

// ProgramRequest asks whether a program has begun.
type ProgramRequest struct {
	Org     string `msgpack:"o"`
	Program string `msgpack:"p"`
}

// ProgramReply tells whether the ledger knows the program.
type ProgramReply struct {
	Begun bool `msgpack:"b"`
}

// ReserveReply answers the reservation of a turn.
type ReserveReply struct {
	Verdict  uint8  `msgpack:"v"`
	Spent    int64  `msgpack:"s"`
	Reserved int64  `msgpack:"r"`
	History  []byte `msgpack:"h,omitempty"`
}
