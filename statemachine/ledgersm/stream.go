package ledgersm

import "time"

// StreamSource is what the events of a stream come from. Events of two sources don't fit together.
type StreamSource struct {
	Service string `msgpack:"s"`
	Version string `msgpack:"v"` // of the target's software
}

// StreamRecord is either the source of the attempt that begins a stream, or the question for the
// source of a stream that an attempt resumes.
type StreamRecord struct {
	// Resumes is set if the attempt resumes a stream.
	Resumes bool `msgpack:"r,omitempty"`
	// Origin is the attempt that brought the first event of the resumed stream. If the caller does not
	// name it, the source is known if all streams of the program had the same.
	Origin string       `msgpack:"o,omitempty"`
	Source StreamSource `msgpack:"s"` // not used with Resumes; without a version: not known yet
	// Revision orders the records of one attempt, which may be sent to a second source after the first
	// has failed. A record replaces those with lower revisions.
	Revision uint32 `msgpack:"n"`
	// Keep is how long the source is kept.
	Keep time.Duration `msgpack:"k"`
}

// RecordStream records or looks up the source of a stream that belongs to no turn. It may be repeated.
type RecordStream struct {
	Org     string       `msgpack:"o"`
	Program string       `msgpack:"p,omitempty"`
	Attempt string       `msgpack:"a"`
	Stream  StreamRecord `msgpack:"s"`
}

// endedStreamRetention is how long the source of a stream that has ended is kept: the caller may have
// lost its last events with the connection.
const endedStreamRetention = 5 * time.Second

// stream is the recorded source of an attempt.
type stream struct {
	Source   StreamSource `msgpack:"s"`
	Revision uint32       `msgpack:"n"`
	// ExpiresAt is the time of the replicated log after which the record is removed.
	ExpiresAt time.Duration `msgpack:"u"`
}

// recordStream executes a RecordStream command.
func (m *Machine) recordStream(now time.Duration, c *RecordStream) Reply {
	source, known := m.findSource(c.Org, c.Program, &c.Stream)
	if !known {
		return Reply{Verdict: UnknownStream}
	}
	m.keepSource(now, c.Org, c.Program, c.Attempt, &c.Stream, source)
	return Reply{Verdict: OK, Source: source}
}

// findSource returns the source of an attempt, and false if it resumes a stream whose source is not
// known.
func (m *Machine) findSource(org, program string, r *StreamRecord) (StreamSource, bool) {
	if !r.Resumes {
		return r.Source, true
	}
	if r.Origin == "" {
		p := m.programs[key(org, program)]
		if p == nil || p.SourcesDiffer {
			return StreamSource{}, false
		}
		return p.Source, true
	}
	s := m.streams[key(org, r.Origin)]
	if s == nil {
		return StreamSource{}, false
	}
	return s.Source, true
}

// addSource records the source of a stream that the program begins.
func (p *program) addSource(source StreamSource) {
	if p.Source == (StreamSource{}) {
		p.Source = source
	}
	p.SourcesDiffer = p.SourcesDiffer || p.Source != source || source.Version == ""
}

// keepSource records the source of an attempt and, if it resumes a stream, keeps the record of the
// stream's origin as long.
func (m *Machine) keepSource(now time.Duration, org, program, attempt string, r *StreamRecord, source StreamSource) {
	until := now + r.Keep
	if origin := m.streams[key(org, r.Origin)]; r.Resumes && origin != nil {
		origin.ExpiresAt = max(origin.ExpiresAt, until)
	}
	if p := m.programs[key(org, program)]; p != nil && !r.Resumes {
		p.addSource(source)
	}
	s := m.streams[key(org, attempt)]
	if s == nil {
		s = &stream{}
		m.streams[key(org, attempt)] = s
	} else if r.Revision <= s.Revision {
		return
	}
	s.Source, s.Revision, s.ExpiresAt = source, r.Revision, max(s.ExpiresAt, until)
}

// endStream shortens the retention of an attempt whose stream has ended.
func (m *Machine) endStream(now time.Duration, org, attempt string) {
	if s := m.streams[key(org, attempt)]; s != nil {
		s.ExpiresAt = min(s.ExpiresAt, now+endedStreamRetention)
	}
}
