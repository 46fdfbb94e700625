package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/rollout"
	"github.com/figlb/figlb/routing"
	"github.com/figlb/figlb/statemachine/documentsm"
	"github.com/figlb/figlb/statemachine/ledgersm"
	"github.com/figlb/figlb/wire"
)

// TargetLister reads the platform's list of targets.
type TargetLister interface {
	List(ctx context.Context) ([]fleet.Target, error)
}

// Replica is what the server needs of this member's replica of the groups: replica.Node, the
// addresses of the members and the number of voters of a group.
type Replica interface {
	replica.Node
	Members() []string
	VoterCount(group uint32) int
}

// Options configure a Server.
type Options struct {
	Node     Replica
	Document *documentsm.Machine
	Ledger   *ledgersm.Machine
	Lister   TargetLister
	// Decode decodes a stored document.
	Decode func(body []byte) (*routing.Table, error)
	// MinVoters is the number of voters below which no command is acknowledged. With fewer, the
	// number of member losses that the site is to survive could destroy acknowledged data.
	MinVoters int
	// MaxLedgerBytes is the total size of kept turns from which new programs that keep turns are
	// refused; 0 means no limit. Beyond it, the ledger would fill the disks of all members.
	MaxLedgerBytes int64
	// Copies is the number of store hosts that hold each body of a turn; 0 means that all turns are kept
	// in the ledger.
	Copies int
	// Peers asks the other members which features they understand.
	Peers Peers
	// Exposure bounds what a bad software version may get during a roll-out; zero values mean the defaults.
	Exposure rollout.Bounds
	Log      logr.Logger
}

// Server is the service of one controller, which is a member of the replicated groups.
type Server struct {
	opts       Options
	log        logr.Logger
	hosts      hostTable
	rates      rateTable
	limits     limitTable
	targetList targetList
	stores     storeTable
	bodies     bodyStorage
	features   featureTable
	events     eventCombiner
	rollouts   rolloutTable
	// ledgerFull is set while new programs that keep turns are refused.
	ledgerFull atomic.Bool
}

// New returns a server. Register adds its methods to a wire server, and Run does its background
// work.
func New(opts Options) *Server {
	s := &Server{opts: opts, log: opts.Log}
	s.hosts.log, s.hosts.outcomes.log, s.limits.log, s.stores.log = opts.Log, opts.Log, opts.Log, opts.Log
	s.rollouts.log, s.rollouts.bounds = opts.Log, opts.Exposure.WithDefaults()
	return s
}

// Register adds the server's methods to a wire server.
func (s *Server) Register(w *wire.Server) {
	fleet.Handle(w, fleet.MethodPoll, s.poll)
	fleet.Handle(w, fleet.MethodRate, s.rate)
	fleet.Handle(w, fleet.MethodPermit, s.permit)
	fleet.Handle(w, fleet.MethodPut, s.put)
	fleet.Handle(w, fleet.MethodGet, func(ctx context.Context, _ *struct{}) (*fleet.GetReply, error) { return s.get(ctx) })
	fleet.Handle(w, fleet.MethodZone, s.setZone)
	fleet.Handle(w, fleet.MethodZoneOrder, s.zoneOrder)
	fleet.Handle(w, fleet.MethodHosts, func(context.Context, *struct{}) (*fleet.HostsReply, error) { return s.listHosts() })
	fleet.Handle(w, fleet.MethodReserve, s.reserve)
	fleet.Handle(w, fleet.MethodSettle, s.settle)
	fleet.Handle(w, fleet.MethodProgram, s.programBegun)
	fleet.Handle(w, fleet.MethodStream, s.recordStream)
	fleet.Handle(w, fleet.MethodEvents, s.appendEvents)
	fleet.Handle(w, fleet.MethodContact, s.contact)
	fleet.Handle(w, fleet.MethodKnownBodies, s.knownBodies)
	fleet.Handle(w, fleet.MethodFeatures, s.ownFeatures)
	fleet.Handle(w, fleet.MethodRetire, s.retire)
	fleet.Handle(w, fleet.MethodRollout, s.startRollout)
	fleet.Handle(w, fleet.MethodRolloutState, s.rolloutState)
	fleet.Handle(w, fleet.MethodExposure, s.exposure)
}

// contact confirms to a host that it reaches the leader. Other members return NotLeader.
func (s *Server) contact(context.Context, *struct{}) (*fleet.ContactReply, error) {
	if err := s.requireLeader(fleet.DocumentGroup); err != nil {
		return nil, err
	}
	return &fleet.ContactReply{ReachesLeader: true}, nil
}

// requireLeader fails with NotLeader unless this member leads the group under an unexpired lease.
func (s *Server) requireLeader(group uint32) error {
	if s.opts.Node.IsLeader(group) {
		return nil
	}
	e := errs.New(errs.NotLeader, "send the request to the leader", "this member does not lead group %d", group)
	e.Leader, _ = s.opts.Node.Leader(group)
	return e
}

// checkVoters fails while the group has fewer than MinVoters voters.
func (s *Server) checkVoters(group uint32) error {
	if n := s.opts.Node.VoterCount(group); n < s.opts.MinVoters {
		return errs.New(errs.Unavailable, "retry once more members have joined",
			"group %d has %d voters; at least %d are required", group, n, s.opts.MinVoters).WithRetryAfter(voterRetryDelay)
	}
	return nil
}

const (
	// voterWaitTimeout is how long a command waits for enough voters. A returning member replaces
	// its old incarnation in two membership changes, and between them a voter is missing.
	voterWaitTimeout   = 300 * time.Millisecond
	voterCheckInterval = 5 * time.Millisecond
)

// awaitVoters waits until the group has at least MinVoters voters, for voterWaitTimeout at most.
func (s *Server) awaitVoters(ctx context.Context, group uint32) error {
	until := clock.Now() + voterWaitTimeout
	for {
		err := s.checkVoters(group)
		if err == nil || ctx.Err() != nil || clock.Now() >= until {
			return err
		}
		time.Sleep(voterCheckInterval)
	}
}

// voterRetryDelay is the Retry-After of commands that fail because too few members have joined.
const voterRetryDelay = 500 * time.Millisecond

// propose commits a command to a group and decodes the reply of its state machine. It checks the
// number of voters before and after the commit.
func propose[R any](ctx context.Context, s *Server, group uint32, cmd any) (*R, error) {
	if err := s.awaitVoters(ctx, group); err != nil {
		return nil, err
	}
	body, err := msgpack.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	out, err := s.opts.Node.Propose(ctx, group, body)
	if err != nil {
		return nil, err
	}
	// A voter may have been removed while the command was being committed.
	if err := s.awaitVoters(ctx, group); err != nil {
		return nil, errs.New(errs.Uncertain, "send the command again", "the command is stored, but %v", err).WithRun(errs.RunUnknown)
	}
	reply := new(R)
	return reply, msgpack.Unmarshal(out, reply)
}
