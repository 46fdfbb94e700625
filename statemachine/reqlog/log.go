package reqlog

// Capacity is the number of requests remembered. At 1,000 commands a second in one
// group it covers 16 s, longer than an entry waits for a commit (10 s).
const Capacity = 16384

// Entry is one remembered request.
type Entry struct {
	ID    string `msgpack:"i"`
	Reply []byte `msgpack:"r"`
}

// Log is a bounded memory of replies, oldest dropped first. It is not safe for
// concurrent use.
type Log struct {
	ring  []Entry
	next  int
	index map[string]int
}

// New returns an empty log.
func New() *Log { return &Log{index: map[string]int{}} }

// Get returns the reply remembered for a request id.
func (l *Log) Get(id string) ([]byte, bool) {
	i, ok := l.index[id]
	if !ok {
		return nil, false
	}
	return l.ring[i].Reply, true
}

// Put remembers a reply. An empty id is not remembered.
func (l *Log) Put(id string, reply []byte) {
	if id == "" {
		return
	}
	e := Entry{ID: id, Reply: reply}
	if len(l.ring) < Capacity {
		l.index[id] = len(l.ring)
		l.ring = append(l.ring, e)
		return
	}
	delete(l.index, l.ring[l.next].ID)
	l.ring[l.next] = e
	l.index[id] = l.next
	l.next = (l.next + 1) % Capacity
}

// Export returns the remembered requests, oldest first.
func (l *Log) Export() []Entry {
	out := make([]Entry, 0, len(l.ring))
	out = append(out, l.ring[l.next:]...)
	return append(out, l.ring[:l.next]...)
}

// Import replaces the content with exported entries.
func (l *Log) Import(entries []Entry) {
	*l = *New()
	for _, e := range entries {
		l.Put(e.ID, e.Reply)
	}
}
