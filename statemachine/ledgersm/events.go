package ledgersm

import (
	"bytes"
	"slices"
	"time"
)

// A turn is kept as one input and one output, but its stream may reach the caller in several parts, through
// several gateways, each of which knows its own part only. While such a stream runs, its gateways therefore
// append its events to a log here, and an attempt that resumes the stream gets the events before it.

// Event is one event of a logged stream.
type Event struct {
	ID string `msgpack:"i"` // as the target has named it; empty: none
	// Text is what the event adds to the history: its data, followed by a line feed.
	Text []byte `msgpack:"t"`
}

// LogRequest asks for the log of a turn's stream, together with its reservation.
type LogRequest struct {
	// Resumes is set if the turn resumes a stream. Its log must hold the events that the caller has.
	Resumes bool `msgpack:"r,omitempty"`
	// Origin is the attempt that brought the first event of the resumed stream; empty: the caller does not
	// name it.
	Origin string `msgpack:"o,omitempty"`
	After  string `msgpack:"a,omitempty"` // ID of the last event that the caller has
	// Keep is how long the log is kept.
	Keep time.Duration `msgpack:"k"`
}

// LogReply describes the log to which the events of a turn's stream are to be appended.
type LogReply struct {
	Origin string `msgpack:"o"` // attempt that began the stream, by which the log is known
	// Before is the text of the events that the caller has, without those of the turn itself.
	Before []byte `msgpack:"b,omitempty"`
}

// AppendEvents appends events to the logs of several streams. It may be repeated.
type AppendEvents struct {
	Batches []EventBatch `msgpack:"b"`
}

// EventBatch holds consecutive events that one attempt has brought.
type EventBatch struct {
	Org     string  `msgpack:"o"`
	Origin  string  `msgpack:"g"` // from LogReply
	Attempt string  `msgpack:"a"`
	First   int     `msgpack:"n"` // number of events of the attempt that precede these
	Events  []Event `msgpack:"e"`
}

// Bytes returns the size of the events in a batch, in bytes.
func (b *EventBatch) Bytes() int { return int(sizeOf(b.Events)) }

// LogClosed is the number of held events in the reply to a batch whose events are not needed: the log has
// expired, has no room, or another attempt has resumed the stream before them.
const LogClosed = -1

const (
	// maxLogBytes bounds the events of all logs. The streams that find no room run on, but cannot be resumed.
	maxLogBytes = 32 << 20
	// eventOverheadBytes is counted for each event besides its ID and text.
	eventOverheadBytes = 48
)

func (e *Event) size() int64 { return int64(len(e.ID)+len(e.Text)) + eventOverheadBytes }

func sizeOf(events []Event) int64 {
	n := int64(0)
	for i := range events {
		n += events[i].size()
	}
	return n
}

// eventLog holds the events of one stream.
//
// The caller has all events in Before: the last attempts that resumed the stream have said so. Several
// attempts may have resumed it there, since the caller repeats one that brought it no event. Which of their
// events the caller has is known once it resumes the stream after one of them.
type eventLog struct {
	Program  string `msgpack:"p"`
	Previous string `msgpack:"v"` // the turn that the stream continues
	// Before holds the events up to the one after which the stream was last resumed.
	Before []Event `msgpack:"b"`
	// Attempts holds the attempts that continue Before.
	Attempts map[string]*loggedAttempt `msgpack:"a"`
	// ExpiresAt is the time of the replicated log after which the events are removed.
	ExpiresAt time.Duration `msgpack:"u"`
}

// loggedAttempt holds the events that one attempt has brought.
type loggedAttempt struct {
	Events []Event `msgpack:"e"`
	// Ended is set once the attempt has been settled; it has brought Total events then, of which the last
	// may still be on their way from its gateway.
	Ended bool `msgpack:"d,omitempty"`
	Total int  `msgpack:"t,omitempty"`
}

// complete reports whether the caller has got no other events from the attempt than those that are held.
func (a *loggedAttempt) complete() bool { return a.Ended && len(a.Events) >= a.Total }

func (l *eventLog) size() int64 {
	n := sizeOf(l.Before)
	for _, a := range l.Attempts {
		n += sizeOf(a.Events)
	}
	return n
}

// endsWith reports whether the events that the caller has are those in Before.
func (l *eventLog) endsWith(id string) bool {
	n := len(l.Before)
	return n > 0 && l.Before[n-1].ID == id
}

// indexOf returns the position of the event with an ID, or -1.
func indexOf(events []Event, id string) int {
	for i := range events {
		if events[i].ID == id {
			return i
		}
	}
	return -1
}

// eventsUpTo returns the events after Before that the caller has if the last one has the given ID. The
// verdict is EventsMissing while an attempt may have brought that event without its being held. It is
// EventsUnknown if no attempt has brought it, or if several have brought different ones: an attempt that
// arrives late may have run beside the one that replaced it, and nothing tells which of them the caller has
// read. It is also EventsUnknown if the stream has been resumed after that event, as the attempt that asks was
// given up by its caller.
func (l *eventLog) eventsUpTo(id string) ([]Event, Verdict) {
	if l.endsWith(id) {
		return nil, OK
	}
	if indexOf(l.Before, id) >= 0 {
		return nil, EventsUnknown
	}
	var found []Event
	missing := false
	for _, a := range l.Attempts {
		n := indexOf(a.Events, id) + 1
		switch {
		case n == 0:
			missing = missing || !a.complete()
		case found == nil:
			found = slices.Clip(a.Events[:n])
		case !sameEvents(found, a.Events[:n]):
			return nil, EventsUnknown
		}
	}
	switch {
	case missing:
		return nil, EventsMissing
	case found == nil:
		return nil, EventsUnknown
	}
	return found, OK
}

func sameEvents(a, b []Event) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID || !bytes.Equal(a[i].Text, b[i].Text) {
			return false
		}
	}
	return true
}

// logMatch is a log that a turn opens or resumes.
type logMatch struct {
	origin string
	log    *eventLog // nil: does not exist yet
	events []Event   // after log.Before; the caller has them too
}

// findLog returns the log of a turn's stream. The verdict is EventsUnknown if the turn resumes a stream of
// which the ledger does not hold the events that the caller has, and EventsMissing if the last of them may
// still be under way from a gateway.
func (m *Machine) findLog(c *Reserve) (logMatch, Verdict) {
	r := c.Log
	if !r.Resumes {
		return logMatch{origin: c.Attempt, log: m.logs[key(c.Org, c.Attempt)]}, OK
	}
	if r.Origin == "" {
		return m.findLogOfProgram(c)
	}
	l := m.logs[key(c.Org, r.Origin)]
	if l == nil || l.Program != c.Program || l.Previous != c.Previous {
		return logMatch{}, EventsUnknown
	}
	if _, again := l.Attempts[c.Attempt]; again {
		return logMatch{origin: r.Origin, log: l}, OK
	}
	events, verdict := l.eventsUpTo(r.After)
	return logMatch{origin: r.Origin, log: l, events: events}, verdict
}

// findLogOfProgram returns the log of the stream that a turn resumes without naming its first attempt: the
// only one of the program that continues the same turn and holds the event.
func (m *Machine) findLogOfProgram(c *Reserve) (logMatch, Verdict) {
	var matches []logMatch
	missing := false
	for k, l := range m.logs {
		org, origin := splitKey(k)
		if org != c.Org || l.Program != c.Program || l.Previous != c.Previous {
			continue
		}
		if _, again := l.Attempts[c.Attempt]; again {
			matches = []logMatch{{origin: origin, log: l}}
			break
		}
		events, verdict := l.eventsUpTo(c.Log.After)
		if verdict == OK {
			matches = append(matches, logMatch{origin: origin, log: l, events: events})
		}
		missing = missing || verdict == EventsMissing
	}
	switch {
	case len(matches) == 1:
		return matches[0], OK
	case len(matches) == 0 && missing:
		return logMatch{}, EventsMissing
	}
	return logMatch{}, EventsUnknown
}

// openLog records that a turn's stream continues a log, and returns what the turn has to know of it. The
// attempts of which the caller has no event are dropped with the first one after it.
func (m *Machine) openLog(now time.Duration, c *Reserve, found logMatch) *LogReply {
	l := found.log
	if l == nil {
		l = &eventLog{Program: c.Program, Previous: c.Previous, Attempts: map[string]*loggedAttempt{c.Attempt: {}}}
		m.logs[key(c.Org, found.origin)] = l
	}
	if len(found.events) > 0 {
		m.logBytes -= l.size()
		l.Before = slices.Concat(l.Before, found.events)
		l.Attempts = map[string]*loggedAttempt{}
		m.logBytes += l.size()
	}
	if _, again := l.Attempts[c.Attempt]; !again && c.Log.Resumes {
		l.Attempts[c.Attempt] = &loggedAttempt{}
	}
	l.ExpiresAt = max(l.ExpiresAt, now+c.Log.Keep)
	reply := &LogReply{Origin: found.origin}
	for i := range l.Before {
		reply.Before = append(reply.Before, l.Before[i].Text...)
	}
	return reply
}

// appendEvents executes an AppendEvents command.
func (m *Machine) appendEvents(c *AppendEvents) Reply {
	reply := Reply{Verdict: OK, Held: make([]int, len(c.Batches))}
	for i := range c.Batches {
		reply.Held[i] = m.appendBatch(&c.Batches[i])
	}
	return reply
}

// appendBatch appends the events of a batch that the log does not hold yet, and returns the number of the
// attempt's events in it.
func (m *Machine) appendBatch(b *EventBatch) int {
	l := m.logs[key(b.Org, b.Origin)]
	if l == nil {
		return LogClosed
	}
	a := l.Attempts[b.Attempt]
	if a == nil {
		return LogClosed
	}
	known := len(a.Events) - b.First
	if known < 0 || known >= len(b.Events) {
		return len(a.Events)
	}
	events := b.Events[known:]
	size := sizeOf(events)
	if m.logBytes+size > maxLogBytes {
		return LogClosed
	}
	m.logBytes += size
	a.Events = append(a.Events, events...)
	return len(a.Events)
}

// endAttempt records how many events a settled attempt has brought. One without events is removed, and the
// log too if it holds nothing else.
func (m *Machine) endAttempt(c *Settle) {
	k := key(c.Org, c.Log)
	l := m.logs[k]
	if l == nil || l.Attempts[c.Attempt] == nil {
		return
	}
	if c.LogEvents > 0 {
		a := l.Attempts[c.Attempt]
		a.Ended, a.Total = true, c.LogEvents
		return
	}
	m.logBytes -= sizeOf(l.Attempts[c.Attempt].Events)
	delete(l.Attempts, c.Attempt)
	if len(l.Attempts) == 0 && len(l.Before) == 0 {
		delete(m.logs, k)
	}
}

// endLog shortens the retention of a log whose stream has ended.
func (m *Machine) endLog(now time.Duration, org, origin string) {
	if l := m.logs[key(org, origin)]; l != nil {
		l.ExpiresAt = min(l.ExpiresAt, now+endedStreamRetention)
	}
}

// sweepLogs removes expired logs.
func (m *Machine) sweepLogs(now time.Duration) {
	for k, l := range m.logs {
		if l.ExpiresAt < now {
			m.logBytes -= l.size()
			delete(m.logs, k)
		}
	}
}

// restoreLogs takes over the logs of a snapshot.
func (m *Machine) restoreLogs(logs map[string]*eventLog) {
	for k, l := range logs {
		if l.Attempts == nil {
			l.Attempts = map[string]*loggedAttempt{}
		}
		m.logs[k] = l
		m.logBytes += l.size()
	}
}
