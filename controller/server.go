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
	"github.com/figlb/figlb/routing"
	"github.com/figlb/figlb/statemachine/documentsm"
	"github.com/figlb/figlb/statemachine/ledgersm"
	"github.com/figlb/figlb/wire"
)

// TargetLister reads the platform's list of targets.
type TargetLister interface {
	List(ctx context.Context) ([]fleet.Target, error)
}

// Members tells what the server needs of the replicated groups beyond replica.Node.
type Members interface {
	replica.Node
	Members() []string
	Voters(group uint32) int
}

// Options configure a Server.
type Options struct {
	Node     Members
	Document *documentsm.Machine
	Ledger   *ledgersm.Machine
	Lister   TargetLister
	// Decode reads a document.
	Decode func(body []byte) (*routing.Table, error)
	// MinVoters is the number of voters below which nothing is acknowledged, because the
	// losses that the site is to bear could take all copies.
	MinVoters int
	// LedgerBytes is the size of the kept turns from which new programs that would add some
	// are refused; 0: no limit. Beyond it the log would fill the disks of all members.
	LedgerBytes int64
	Log         logr.Logger
}

// Server runs on each state member.
type Server struct {
	opts  Options
	log   logr.Logger
	hosts hostTable
	rates rateTable
	list  targetList
	// ledgerFull tells whether new programs that keep turns are refused.
	ledgerFull atomic.Bool
}

// New returns a server. Register adds its methods, Run its background work.
func New(opts Options) *Server {
	s := &Server{opts: opts, log: opts.Log}
	s.hosts.log, s.hosts.sound.log = opts.Log, opts.Log
	return s
}

// Register adds the methods to a wire server.
func (s *Server) Register(w *wire.Server) {
	fleet.Handle(w, fleet.MethodPoll, s.poll)
	fleet.Handle(w, fleet.MethodRate, s.rate)
	fleet.Handle(w, fleet.MethodPut, s.put)
	fleet.Handle(w, fleet.MethodGet, func(ctx context.Context, _ *struct{}) (*fleet.GetReply, error) { return s.get(ctx) })
	fleet.Handle(w, fleet.MethodZone, s.zone)
	fleet.Handle(w, fleet.MethodHosts, func(context.Context, *struct{}) (*fleet.HostsReply, error) { return s.listHosts() })
	fleet.Handle(w, fleet.MethodReserve, s.reserve)
	fleet.Handle(w, fleet.MethodSettle, s.settle)
	fleet.Handle(w, fleet.MethodProgram, s.program)
	fleet.Handle(w, fleet.MethodContact, s.contact)
}

// contact tells a host whether it reaches the leader.
func (s *Server) contact(context.Context, *struct{}) (*fleet.ContactReply, error) {
	if err := s.lead(fleet.DocumentGroup); err != nil {
		return nil, err
	}
	return &fleet.ContactReply{InTouch: true}, nil
}

// lead fails with NotLeader unless this member leads the group under an unexpired lease.
func (s *Server) lead(group uint32) error {
	if s.opts.Node.IsLeader(group) {
		return nil
	}
	e := errs.New(errs.NotLeader, "send the request to the leader", "this member does not lead group %d", group)
	e.Leader, _ = s.opts.Node.Leader(group)
	return e
}

// enoughCopies fails while the group has too few voters to acknowledge anything.
func (s *Server) enoughCopies(group uint32) error {
	if n := s.opts.Node.Voters(group); n < s.opts.MinVoters {
		return errs.New(errs.Unavailable, "retry once more members have joined",
			"group %d has %d voters of at least %d", group, n, s.opts.MinVoters).WithRetryAfter(formationRetry)
	}
	return nil
}

const (
	// copiesWait is how long a command waits for voters: a returning member replaces its old
	// incarnation by two changes of the membership.
	copiesWait          = 300 * time.Millisecond
	copiesCheckInterval = 5 * time.Millisecond
)

// awaitCopies waits until the group has enough voters to acknowledge something.
func (s *Server) awaitCopies(ctx context.Context, group uint32) error {
	until := clock.Now() + copiesWait
	for {
		err := s.enoughCopies(group)
		if err == nil || ctx.Err() != nil || clock.Now() >= until {
			return err
		}
		time.Sleep(copiesCheckInterval)
	}
}

// formationRetry is the time after which an order is worth sending again while members join.
const formationRetry = 500 * time.Millisecond

// propose commits a command and decodes its reply.
func propose[R any](ctx context.Context, s *Server, group uint32, cmd any) (*R, error) {
	if err := s.awaitCopies(ctx, group); err != nil {
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
	// A voter may have been removed meanwhile.
	if err := s.awaitCopies(ctx, group); err != nil {
		return nil, errs.New(errs.Uncertain, "send the command again", "it is stored, but %v", err).WithRun(errs.RunUnknown)
	}
	reply := new(R)
	return reply, msgpack.Unmarshal(out, reply)
}
