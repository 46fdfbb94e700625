package reqlog

// Capacity is the number of requests that are kept. At 1,000 commands per second in one
// group they cover 16 s, which is longer than an entry waits for its commit (10 s).
const Capacity = 16384

// Entry is a request id and the reply to the request.
type Entry struct {
	ID    string `msgpack:"i"`
	Reply []byte `msgpack:"r"`
}

// Log is a ring buffer of the last Capacity requests with their replies; the oldest entry is
// evicted first. It is not safe for concurrent use.
type Log struct {
	ring  []Entry
	next  int            // position of the oldest entry once the ring is full
	index map[string]int // position in the ring by request id
}

// New returns an empty log.
func New() *Log { return &Log{index: map[string]int{}} }

// Get returns the stored reply to a request id.
func (l *Log) Get(id string) ([]byte, bool) {
	i, ok := l.index[id]
	if !ok {
		return nil, false
	}
	return l.ring[i].Reply, true
}

// Put stores the reply to a request id that is not in the log yet. An empty id is ignored.
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

// Export returns the entries, oldest first.
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
