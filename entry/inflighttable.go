package entry

import "sync"

// inFlightTable contains the turns or calls that run on this entry. The key consists of the
// organisation and the program ID or idempotency key. At most one turn or call runs for each
// key.
type inFlightTable[T any] struct {
	mu            sync.Mutex
	running       map[string]*T
	pendingBegins map[string]int // number of begin commands without a reply
	// claimed holds the keys for which no begin command may be sent.
	claimed map[string]bool
}

func newInFlightTable[T any]() *inFlightTable[T] {
	return &inFlightTable[T]{running: map[string]*T{}, pendingBegins: map[string]int{}, claimed: map[string]bool{}}
}

// startBegin registers a begin command that is about to be sent. It returns false if the key
// is claimed.
func (l *inFlightTable[T]) startBegin(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.claimed[key] {
		return false
	}
	l.pendingBegins[key]++
	return true
}

// claim prevents begin commands for the key until unclaim is called. It returns false if the
// key has a running turn or call or a pending begin command, or if it is claimed already.
func (l *inFlightTable[T]) claim(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.claimed[key] || l.running[key] != nil || l.pendingBegins[key] > 0 {
		return false
	}
	l.claimed[key] = true
	return true
}

func (l *inFlightTable[T]) unclaim(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.claimed, key)
}

// finishBegin registers the reply to a begin command. v is nil if there is nothing to run.
func (l *inFlightTable[T]) finishBegin(key string, v *T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingBegins[key]--
	if l.pendingBegins[key] == 0 {
		delete(l.pendingBegins, key)
	}
	if v != nil {
		l.running[key] = v
	}
}

func (l *inFlightTable[T]) remove(key string, v *T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[key] == v {
		delete(l.running, key)
	}
}

func (l *inFlightTable[T]) get(key string) *T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running[key]
}

// idle reports whether the key has neither a running turn or call nor a pending begin
// command on this entry. A record that says it is running on this entry is then an orphan:
// the reply to its begin command was lost, and nothing was dispatched.
func (l *inFlightTable[T]) idle(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running[key] == nil && l.pendingBegins[key] == 0
}
