package ledgersm

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// SweepInterval is the time between two removals of expired programs and turns, in the time of
	// the replicated log.
	SweepInterval = 2 * time.Second
	// retentionMargin is added to the retention of turns and budgets, because callers count it
	// from the end of the response.
	retentionMargin = 5 * time.Second
	// defaultRetention applies to programs whose commands give no retention.
	defaultRetention = 60 * time.Second
)

// Machine implements replica.StateMachine.
type Machine struct {
	mu          sync.RWMutex
	programs    map[string]*program
	turns       map[string]*turn
	streams     map[string]*stream   // by attempt
	logs        map[string]*eventLog // by the attempt that began the stream
	logBytes    int64                // size of all logs
	blocks      map[uint64]*block
	lastBlock   uint64 // id of the block that takes new turns
	storedBytes int64  // size of all blocks
	lastSweep   time.Duration
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{programs: map[string]*program{}, turns: map[string]*turn{}, streams: map[string]*stream{}, logs: map[string]*eventLog{}, blocks: map[uint64]*block{}}
}

// key returns the map key of a program or turn. It includes the organisation, so that no
// organisation can use the programs and turns of another.
func key(org, id string) string { return org + "\x00" + id }

// splitKey returns the parts of a key.
func splitKey(k string) (org, id string) {
	org, id, _ = strings.Cut(k, "\x00")
	return org, id
}

// Apply executes an encoded command and returns the encoded Reply.
func (m *Machine) Apply(_ uint64, now time.Duration, cmd []byte) []byte {
	var c Command
	reply := Reply{Verdict: Malformed}
	if err := msgpack.Unmarshal(cmd, &c); err == nil {
		reply = m.apply(now, &c, cmd)
	}
	out, err := msgpack.Marshal(reply)
	if err != nil {
		return nil
	}
	return out
}

func (m *Machine) apply(now time.Duration, c *Command, cmd []byte) Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sweep(now)
	switch {
	case c.Reserve != nil:
		return m.reserve(now, c.Reserve)
	case c.Settle != nil:
		return m.settle(now, c.Settle, cmd)
	case c.Stream != nil:
		return m.recordStream(now, c.Stream)
	case c.Events != nil:
		return m.appendEvents(c.Events)
	}
	return Reply{Verdict: Malformed}
}

func (m *Machine) reserve(now time.Duration, c *Reserve) Reply {
	if c.Previous != "" && m.turns[key(c.Org, c.Previous)] == nil {
		return Reply{Verdict: UnknownTurn}
	}
	var source StreamSource
	if c.Stream != nil {
		var known bool
		if source, known = m.findSource(c.Org, c.Program, c.Stream); !known {
			return Reply{Verdict: UnknownStream}
		}
	}
	var log logMatch
	if c.Log != nil {
		var verdict Verdict
		if log, verdict = m.findLog(c); verdict != OK {
			return Reply{Verdict: verdict}
		}
	}
	p := m.touchProgram(now, c.Org, c.Program, c.Retention)
	if p.Budget == 0 {
		p.Budget = c.Budget
	}
	reply := Reply{Verdict: OK, Spent: p.Spent, Reserved: p.reserved(), Source: source}
	if _, exists := p.Reservations[c.Attempt]; exists {
		if c.Log != nil {
			reply.Log = m.openLog(now, c, log)
		}
		return reply
	}
	if p.Budget > 0 && reply.Spent+reply.Reserved+c.Tokens > p.Budget {
		reply.Verdict = BudgetExhausted
		return reply
	}
	p.Reservations[c.Attempt] = c.Tokens
	if c.Stream != nil {
		m.keepSource(now, c.Org, c.Program, c.Attempt, c.Stream, source)
	}
	if c.Log != nil {
		reply.Log = m.openLog(now, c, log)
	}
	m.holdForTurn(now, p, c)
	return reply
}

// holdForTurn keeps what a turn needs that has just begun, its program and the chain that it continues,
// until the turn has been settled.
func (m *Machine) holdForTurn(now time.Duration, p *program, c *Reserve) {
	if c.Hold <= 0 {
		return
	}
	until := now + c.Hold + retentionMargin
	p.ExpiresAt = max(p.ExpiresAt, until)
	m.extendChain(c.Org, c.Previous, until)
}

func (m *Machine) settle(now time.Duration, c *Settle, cmd []byte) Reply {
	p := m.touchProgram(now, c.Org, c.Program, c.Retention)
	if _, exists := p.Reservations[c.Attempt]; exists {
		delete(p.Reservations, c.Attempt)
		p.Spent += c.Tokens
	}
	if c.Log != "" {
		m.endAttempt(c)
	}
	if c.StreamEnded {
		m.endStream(now, c.Org, c.Attempt)
		m.endLog(now, c.Org, c.Log)
	}
	reply := Reply{Verdict: OK, Spent: p.Spent, Reserved: p.reserved()}
	if c.Keep && !m.keepTurn(now, c, cmd) {
		reply.Verdict = UnknownTurn
	}
	return reply
}

// touchProgram returns a program, which is created on first use, and extends its expiry.
func (m *Machine) touchProgram(now time.Duration, org, id string, retention time.Duration) *program {
	k := key(org, id)
	p := m.programs[k]
	if p == nil {
		p = &program{Reservations: map[string]int64{}}
		m.programs[k] = p
	}
	if retention <= 0 {
		retention = defaultRetention
	}
	p.ExpiresAt = max(p.ExpiresAt, now+retention+retentionMargin)
	return p
}

// keepTurn stores a turn unless it is known and extends the expiry of the chain that it ends, so
// that the history of a turn is kept as long as the turn. It returns false, and stores nothing, if the
// turn that it continues is not stored.
func (m *Machine) keepTurn(now time.Duration, c *Settle, cmd []byte) bool {
	k := key(c.Org, c.Attempt)
	if m.turns[k] == nil {
		if c.Previous != "" && m.turns[key(c.Org, c.Previous)] == nil {
			return false
		}
		id, offset := m.appendToBlock(cmd)
		m.turns[k] = &turn{Previous: c.Previous, Block: id, Offset: offset, Size: len(cmd), command: cmd}
	}
	m.extendChain(c.Org, c.Attempt, now+c.Retention+retentionMargin)
	return true
}

// extendChain keeps the chain of turns that ends with lastTurn until the given time at least. A turn
// that is kept as long ends the walk, because the turns before it are kept no less long.
func (m *Machine) extendChain(org, lastTurn string, until time.Duration) {
	for id := lastTurn; id != ""; {
		t := m.turns[key(org, id)]
		if t == nil || t.ExpiresAt >= until {
			return
		}
		t.ExpiresAt = until
		id = t.Previous
	}
}

// Parts returns the chain of turns that ends with lastTurn, oldest first. Consecutive turns that the
// ledger holds itself are joined into one part. The second result is false if a turn of the chain is not
// known.
func (m *Machine) Parts(org, lastTurn string) ([]Part, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var chain []*turn
	size := 0
	for id := lastTurn; id != ""; {
		t := m.turns[key(org, id)]
		if t == nil {
			return nil, false
		}
		chain = append(chain, t)
		size += t.Size
		id = t.Previous
	}
	h := history{sizeHint: size}
	for _, t := range slices.Backward(chain) {
		s, err := t.settled()
		if err != nil {
			return nil, false
		}
		h.add(s)
	}
	return h.parts, true
}

// history collects the parts of a chain.
type history struct {
	parts    []Part
	sizeHint int // upper bound of the bytes in all parts
}

// add appends a settled turn. Its input and output are copied.
func (h *history) add(s *Settle) {
	if s.Body != nil {
		h.parts = append(h.parts, Part{Ref: s.Body})
		return
	}
	if n := len(h.parts); n == 0 || h.parts[n-1].Ref != nil {
		h.parts = append(h.parts, Part{Inline: make([]byte, 0, h.sizeHint)})
		h.sizeHint = 0 // a further inline part, after a reference, grows as needed
	}
	last := &h.parts[len(h.parts)-1]
	last.Inline = append(append(last.Inline, s.Input...), s.Output...)
}

// RefersTo reports whether a stored turn refers to the body with the given key on store hosts.
func (m *Machine) RefersTo(body string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	org, rest, _ := strings.Cut(body, "\x00")
	attempt, _, _ := strings.Cut(rest, "\x00") // what follows tells several runs of an attempt apart
	t := m.turns[key(org, attempt)]
	if t == nil || t.Size > maxReferenceBytes {
		return false
	}
	s, err := t.settled()
	return err == nil && s.Body != nil && s.Body.Key == body
}

// maxReferenceBytes is above the size of a command with a reference in place of a body, whose ids come
// from request headers of at most 64 KB. A larger command holds a body and is not decoded.
const maxReferenceBytes = 256 << 10

// ProgramBegun reports whether the ledger knows a program.
func (m *Machine) ProgramBegun(org, program string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.programs[key(org, program)] != nil
}

// Counts returns the numbers of kept programs and turns.
func (m *Machine) Counts() (programs, turns int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.programs), len(m.turns)
}

// Bytes returns the total size of all blocks. Expired turns count until their block is removed.
func (m *Machine) Bytes() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.storedBytes
}

// sweep removes expired programs, turns, sources and logs of streams. It depends on the time of the replicated log only, so
// all members remove the same.
func (m *Machine) sweep(now time.Duration) {
	if now-m.lastSweep < SweepInterval {
		return
	}
	m.lastSweep = now
	for k, p := range m.programs {
		if p.ExpiresAt < now {
			delete(m.programs, k)
		}
	}
	for k, s := range m.streams {
		if s.ExpiresAt < now {
			delete(m.streams, k)
		}
	}
	m.sweepLogs(now)
	for k, t := range m.turns {
		if t.ExpiresAt < now {
			delete(m.turns, k)
			m.releaseTurn(t.Block)
		}
	}
}
