package orgsm

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

// compactReply returns the encoded reply as the request log stores it: without messages,
// answers and bodies, which the state holds already and which would multiply its size.
func compactReply(r structs.OrgReply, encoded []byte) []byte {
	switch {
	case r.BeginTurn != nil:
		b := *r.BeginTurn
		b.History, b.Turn.Messages, b.Turn.Answer = nil, nil, nil
		return reqlog.Encode(structs.OrgReply{BeginTurn: &b})
	case r.BeginCall != nil && r.BeginCall.Call.Body != nil:
		b := *r.BeginCall
		b.Call.Body = nil
		return reqlog.Encode(structs.OrgReply{BeginCall: &b})
	case r.Call != nil && r.Call.Body != nil:
		k := *r.Call
		k.Body = nil
		return reqlog.Encode(structs.OrgReply{Call: &k})
	}
	return encoded
}

// replay returns the first reply to a resent command. It adds the parts that compactReply
// removed.
func (m *Machine) replay(c *structs.OrgCommand, first []byte) []byte {
	var r structs.OrgReply
	if err := msgpack.Unmarshal(first, &r); err != nil {
		return reqlog.Encode(errorReply(errs.New(errs.Internal, "report this message", "remembered reply: %v", err).WithRun(errs.RunUnknown)))
	}
	s := m.shard(c.Org)
	s.mu.RLock()
	defer s.mu.RUnlock()
	o := s.orgs[c.Org]
	if o == nil {
		return first
	}
	switch {
	case r.BeginTurn != nil && c.BeginTurn != nil:
		o.restoreTurnContent(r.BeginTurn, c.BeginTurn)
	case r.BeginCall != nil:
		o.restoreCallBody(&r.BeginCall.Call)
	case r.Call != nil:
		o.restoreCallBody(r.Call)
	default:
		return first
	}
	return reqlog.Encode(r)
}

// restoreTurnContent restores the messages, answer and history that compactReply removed.
// Answered turns never change, so the state holds them unless the program was deleted.
func (o *org) restoreTurnContent(b *structs.BeginTurnReply, c *structs.BeginTurn) {
	p := o.programs[b.Program.ID]
	if p == nil || b.Turn.Number > len(p.Turns) {
		return
	}
	if b.Recorded {
		t := p.Turns[b.Turn.Number-1]
		b.Turn.Messages, b.Turn.Answer = t.Messages, t.Answer
		return
	}
	b.History = p.history(c.KnownTurns, b.Turn.Number)
}

// restoreCallBody restores the body of a finished call, which never changes.
func (o *org) restoreCallBody(k *structs.Call) {
	current := o.calls[k.Key]
	if current != nil && k.State == structs.CallFinished {
		k.Body = current.Record.Body
	}
}
