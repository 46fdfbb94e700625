package fleet

import (
	"time"

	"github.com/figlb/figlb/statemachine/ledgersm"
)

// Ids of the controllers' raft groups.
const (
	DocumentGroup uint32 = 0
	LedgerGroup   uint32 = 1
)

// Names of the RPC methods.
const (
	MethodPoll   = "fleet.poll"
	MethodRate   = "fleet.rate"
	MethodPermit = "fleet.permit"
	MethodPut    = "document.put"
	MethodGet    = "document.get"
	MethodZone   = "document.zone"
	// MethodZoneOrder returns the number of the next order for an availability zone.
	MethodZoneOrder = "document.zone_order"
	MethodHosts     = "fleet.hosts"
	MethodContact   = "fleet.contact" // answered by the leader and by gateways
	MethodReserve   = "ledger.reserve"
	MethodSettle    = "ledger.settle"
	MethodProgram   = "ledger.program"
	MethodStream    = "ledger.stream"
	// MethodTunnel is a stream that a gateway serves for others: a connection to a target.
	MethodTunnel = "fleet.tunnel"
)

// Kinds of hosts.
const (
	KindGateway = "gateway"
	KindStore   = "store"
)

// PollRequest tells the leader which state a host holds and what it is doing.
type PollRequest struct {
	Host string `msgpack:"h"`
	Kind string `msgpack:"k"`
	Zone string `msgpack:"z"`
	// Address is where a gateway serves other gateways; empty: it doesn't.
	Address string `msgpack:"a,omitempty"`
	KnownVersions
	// InFlight counts the host's in-flight requests by target.
	InFlight map[string]int32 `msgpack:"f,omitempty"`
	// Outcomes counts the requests that have ended since the last poll, by target.
	Outcomes map[string]Outcomes `msgpack:"u,omitempty"`
	// Want is the number of requests for which the host asks admission, by organisation. An
	// organisation with traffic is included even with 0, to get the state of its rate.
	Want map[string]float64 `msgpack:"w,omitempty"`
	// Crashes lists digests of requests after which a target went down since the last poll.
	Crashes []uint64 `msgpack:"c,omitempty"`
	// CrashReport is the id of the report in Crashes. A host that repeats the report uses it again.
	CrashReport uint64 `msgpack:"cr,omitempty"`
	Leaving     bool   `msgpack:"l,omitempty"` // the host is shutting down
	// CutOff is set while a gateway reaches no target directly.
	CutOff bool `msgpack:"x,omitempty"`
	// Limits holds what targets have said about their request limits and the leader may not know.
	Limits []LimitStatement `msgpack:"n,omitempty"`
	// IdleEventInterval is the time between two stream events of an otherwise idle engine, in ms by
	// service; empty: unchanged, or not measured yet.
	IdleEventInterval map[string]float64 `msgpack:"e,omitempty"`
	// WantEventInterval and WantPeers request IdleEventInterval and Peers in the reply.
	WantEventInterval bool `msgpack:"ep,omitempty"`
	WantPeers         bool `msgpack:"op,omitempty"`
	// Store is set by store hosts that hold bodies of turns.
	Store *StoreReport `msgpack:"st,omitempty"`
	// Features holds the features that the host understands, such as FeatureBodies.
	Features uint64 `msgpack:"fe,omitempty"`
	// VersionOutcomes holds a report for each roll-out that the host knows of and that has not ended.
	VersionOutcomes []RolloutReport `msgpack:"vo,omitempty"`
}

// KnownVersions identifies the version of each item that a host holds and that polls keep up to
// date. The leader only sends items that have changed. A zero value means that the host has none
// yet.
type KnownVersions struct {
	Version      uint64 `msgpack:"v"` // version of the configuration document
	ZoneRevision uint64 `msgpack:"m"` // version of the list of availability zones out of service
	Targets      uint64 `msgpack:"t"` // digest of the list of targets
	Members      uint64 `msgpack:"p"` // digest of the members' addresses
	Blocked      uint64 `msgpack:"b"` // digest of the blocked requests
	// LimitVersion identifies the statements about request limits.
	LimitVersion LimitVersion `msgpack:"lv"`
	// Stores is the revision of the StoreView.
	Stores uint64 `msgpack:"sv,omitempty"`
}

// Update records what a reply has brought up to date. The host itself updates Version and
// ZoneRevision, because it may reject a document.
func (h *KnownVersions) Update(reply *PollReply) {
	if reply.Targets != nil {
		h.Targets = reply.Targets.Digest
	}
	if len(reply.Members) > 0 {
		h.Members = DigestStrings(reply.Members)
	}
	if reply.BlockedChanged {
		h.Blocked = DigestNumbers(reply.Blocked)
	}
	if reply.Limits != nil {
		h.LimitVersion = reply.Limits.Version
	}
	if reply.Stores != nil {
		h.Stores = reply.Stores.Revision
	}
}

// PollReply holds what has changed for the polling host.
type PollReply struct {
	Members      []string `msgpack:"p,omitempty"` // empty: unchanged
	Version      uint64   `msgpack:"v"`
	Document     []byte   `msgpack:"d,omitempty"`
	ZoneRevision uint64   `msgpack:"m"`
	ZonesOut     []string `msgpack:"z,omitempty"`
	// Targets is the change of the list of targets; nil: unchanged.
	Targets *TargetChange `msgpack:"t,omitempty"`
	// Loads holds the in-flight requests of all gateways, the polling one included, at each
	// target in the order of the ids; empty: not included in this reply.
	Loads    Loads `msgpack:"f,omitempty"`
	Gateways int   `msgpack:"g"` // number of gateways
	// FailurePercent is the failure rate of targets in percent, as seen by the gateways of the same
	// availability zone. Targets with few failures are omitted.
	FailurePercent map[string]uint8 `msgpack:"u,omitempty"`
	Grants         map[string]Grant `msgpack:"r,omitempty"`
	// Limits holds new statements about the request limits of targets; nil: unchanged.
	Limits *LimitChange `msgpack:"lc,omitempty"`
	// Blocked lists the digests of requests that crash their targets. It is valid only if
	// BlockedChanged is set.
	Blocked        []uint64 `msgpack:"b,omitempty"`
	BlockedChanged bool     `msgpack:"bc,omitempty"`
	// IdleEventInterval is the lowest value that other gateways have reported by service. It is
	// sent if requested by WantEventInterval.
	IdleEventInterval map[string]float64 `msgpack:"e,omitempty"`
	// Peers holds the addresses of a few other gateways, chosen at random. It is sent if
	// requested by WantPeers.
	Peers []string `msgpack:"o,omitempty"`
	// CrashesNotRecorded is set if the crash report may be lost and has to be repeated.
	CrashesNotRecorded bool `msgpack:"cn,omitempty"`
	// Stores is the view of the store hosts; nil: unchanged.
	Stores *StoreView `msgpack:"st,omitempty"`
	// BodiesToStores is set while gateways store the bodies of turns on store hosts.
	BodiesToStores bool `msgpack:"bs,omitempty"`
	// Rollouts holds all roll-outs that restrict the choice of a version. It is valid only if
	// RolloutsKnown is set, which older builds do not do.
	Rollouts      []Rollout `msgpack:"ro,omitempty"`
	RolloutsKnown bool      `msgpack:"rk,omitempty"`
}

// TunnelRequest asks a gateway for a connection to a target.
type TunnelRequest struct {
	Target string `msgpack:"t"` // address
}

// ContactReply reports whether a host is in contact with the leader.
type ContactReply struct {
	ReachesLeader bool `msgpack:"t"`
}

// RateRequest asks for a grant to admit requests of one organisation.
type RateRequest struct {
	Host string  `msgpack:"h"`
	Org  string  `msgpack:"o"`
	Want float64 `msgpack:"w"` // number of requests to admit
	// WantNewPrograms is the number of further requests that may belong to new programs. They are
	// granted only while the organisation's rate allows new programs.
	WantNewPrograms float64 `msgpack:"f,omitempty"`
}

// Grant is a number of requests that a host may admit.
type Grant struct {
	Tokens float64 `msgpack:"t"`
	// Wait is the time until the organisation's token bucket has the next token, if Tokens is
	// below 1.
	Wait time.Duration `msgpack:"w,omitempty"`
	// NewProgramWait is the time until the organisation's rate allows new programs; 0: it does now.
	NewProgramWait time.Duration `msgpack:"r,omitempty"`
}

// PutRequest stores a version of the document.
type PutRequest struct {
	Version uint64 `msgpack:"v"`
	Body    []byte `msgpack:"b"`
}

// PutReply holds the version of the document in force.
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
	// Order is the number of this order for the zone, from ZoneOrderReply. The order is refused if
	// another one has been executed under it.
	Order uint64 `msgpack:"n,omitempty"`
}

// ZoneOrderRequest asks for the number of the next order for an availability zone.
type ZoneOrderRequest struct {
	Zone string `msgpack:"z"`
}

// ZoneOrderReply holds the number of the next order for an availability zone.
type ZoneOrderReply struct {
	Order uint64 `msgpack:"n"`
}

// HostsReply lists the hosts that poll. Settled is false while a new leader may not have
// received polls from all of them yet.
type HostsReply struct {
	Hosts    []Host `msgpack:"h"`
	Complete bool   `msgpack:"s"`
}

// Host is a host that polls.
type Host struct {
	Name string `msgpack:"n"`
	Kind string `msgpack:"k"`
	Zone string `msgpack:"z"`
}

// ProgramRequest asks whether a program has begun, that is, whether the ledger has an entry of it.
type ProgramRequest struct {
	Org     string `msgpack:"o"`
	Program string `msgpack:"p"`
}

// ProgramReply reports whether the ledger has an entry of the program.
type ProgramReply struct {
	Begun bool `msgpack:"b"`
}

// ReserveReply answers the reservation of a turn.
type ReserveReply struct {
	Verdict  uint8  `msgpack:"v"` // numeric value of a ledgersm.Verdict
	Spent    int64  `msgpack:"s"`
	Reserved int64  `msgpack:"r"`
	History  []byte `msgpack:"h,omitempty"`
	// Parts holds the history by turns, oldest first. It is set in place of History if at least one turn
	// is kept on store hosts.
	Parts []HistoryPart `msgpack:"hp,omitempty"`
	// Source is the source of the stream that the turn begins or resumes.
	Source ledgersm.StreamSource `msgpack:"e"`
	// Log is the log to which the events of the turn's stream are to be appended; nil: the turn has none.
	Log *ledgersm.LogReply `msgpack:"lg,omitempty"`
}
