package stateserver

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/statemachine/configsm"
	"github.com/figlb/figlb/statemachine/orgsm"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

// StateMachines holds the replicated state machines of a member.
type StateMachines struct {
	Config *configsm.Machine
	Orgs   map[uint32]*orgsm.Machine // by group number, starting at 1
}

// NewStateMachines returns empty state machines for a number of organisation groups.
func NewStateMachines(groups int) *StateMachines {
	m := &StateMachines{Config: configsm.New(), Orgs: map[uint32]*orgsm.Machine{}}
	for g := 1; g <= groups; g++ {
		m.Orgs[uint32(g)] = orgsm.New()
	}
	return m
}

// ByGroup returns all state machines, keyed by group, in the form that package replica
// expects.
func (m *StateMachines) ByGroup() map[uint32]replica.StateMachine {
	out := map[uint32]replica.StateMachine{stateclient.ConfigGroup: m.Config}
	for g, sm := range m.Orgs {
		out[g] = sm
	}
	return out
}

// Options configures a Server.
type Options struct {
	Node          replica.Node
	StateMachines *StateMachines
	ID            string // this member's id
	Zone          string
	Members       []settings.Member
	// ProgramIdle is the time after which an idle program expires; EndedRetention is how long
	// ended programs and finished calls stay readable.
	ProgramIdle    time.Duration
	EndedRetention time.Duration
	Log            logr.Logger
	Metrics        metrics.Registry
	// LiveEntries returns the incarnations of the live entries from a list that is at most a
	// few seconds old, or nil if no such list is available. The function itself may be nil.
	LiveEntries func() []string
	// Status and RemoveMember are provided by the replica and are nil if it does not
	// support them. RemoveMember removes a member from the groups that this member leads
	// and returns those groups.
	Status       func() structs.MemberStatus
	RemoveMember func(ctx context.Context, id string) ([]uint32, error)
}

// Server handles the calls of entries, operators and other state members.
type Server struct {
	Options
	groups       int
	readBatchers map[uint32]*readBatcher
	entries      *entryTracker
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{
		Options:      o,
		groups:       len(o.StateMachines.Orgs),
		readBatchers: map[uint32]*readBatcher{},
		entries:      newEntryTracker(o.Node),
	}
	for g := range o.StateMachines.ByGroup() {
		s.readBatchers[g] = newReadBatcher(func(ctx context.Context) error { return o.Node.ReadIndex(ctx, g) })
	}
	return s
}

// Register adds the server's methods to w. It must be called before w starts serving.
func (s *Server) Register(w *wire.Server) {
	s.registerOrgCommands(w)
	s.registerConfigCommands(w)
	s.registerQueries(w)
	s.registerMember(w)
}

// handle registers h for a method. It decodes the request before it calls h and converts
// the errors of h into the form that clients understand.
func handle[Req any](s *Server, w *wire.Server, method string, h func(context.Context, *Req) (any, error)) {
	timer := metrics.GetOrRegisterTimer("rpc."+method, s.Metrics)
	w.Handle(method, func(ctx context.Context, body []byte) (any, error) {
		defer timer.UpdateSince(time.Now())
		req := new(Req)
		if err := msgpack.Unmarshal(body, req); err != nil {
			return nil, errs.New(errs.BadRequest, "upgrade the sender", "%s: %v", method, err)
		}
		reply, err := h(ctx, req)
		if err != nil {
			return nil, s.clientError(err)
		}
		return reply, nil
	})
}

// clientError converts an error for the client: it replaces the leader's id in NotLeader
// errors by its address, and reports an expired or cancelled context as an uncertain
// outcome.
func (s *Server) clientError(err error) error {
	var e *errs.Error
	if errors.As(err, &e) {
		if e.Code == errs.NotLeader {
			c := *e
			c.Leader = s.memberAddress(e.Leader)
			return &c
		}
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errs.New(errs.Uncertain, "send it again under the same request id", "the call timed out or was cancelled: %v", err).
			WithRun(errs.RunUnknown)
	}
	return err
}

// memberAddress returns the address of the member with the given id. Any other string, such
// as an address, is returned unchanged.
func (s *Server) memberAddress(member string) string {
	for _, m := range s.Members {
		if m.ID == member {
			return m.Address
		}
	}
	return member
}

// notLeader returns the error for a call to a group that this member does not lead. It
// names the leader if another member is known to be it.
func (s *Server) notLeader(group uint32) *errs.Error {
	id, _ := s.Node.Leader(group)
	if id == s.ID {
		id = ""
	}
	e := errs.New(errs.NotLeader, "call the leader", "this member does not lead group %d", group)
	e.Leader = s.memberAddress(id)
	return e
}
