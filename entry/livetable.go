package entry

import "sync"

// liveTable knows the turns or calls that run on this entry, by organisation and
// program or key. At most one runs for each.
type liveTable[T any] struct {
	mu       sync.Mutex
	live     map[string]*T
	starting map[string]int // begin commands without a reply
	// claimed holds the keys for which nothing may begin.
	claimed map[string]bool
}

func newLiveTable[T any]() *liveTable[T] {
	return &liveTable[T]{live: map[string]*T{}, starting: map[string]int{}, claimed: map[string]bool{}}
}

// beginning notes that a begin command is being sent. It returns false if the key is
// claimed.
func (l *liveTable[T]) beginning(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.claimed[key] {
		return false
	}
	l.starting[key]++
	return true
}

// claim keeps anything from beginning for the key until unclaim. It returns false if
// something runs or begins, or if the key is claimed already.
func (l *liveTable[T]) claim(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.claimed[key] || l.live[key] != nil || l.starting[key] > 0 {
		return false
	}
	l.claimed[key] = true
	return true
}

func (l *liveTable[T]) unclaim(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.claimed, key)
}

// begun notes the reply to a begin command; v is nil if there is nothing to run.
func (l *liveTable[T]) begun(key string, v *T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starting[key]--
	if l.starting[key] == 0 {
		delete(l.starting, key)
	}
	if v != nil {
		l.live[key] = v
	}
}

func (l *liveTable[T]) end(key string, v *T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.live[key] == v {
		delete(l.live, key)
	}
}

func (l *liveTable[T]) get(key string) *T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.live[key]
}

// idle reports whether nothing runs or begins here for the key. A record that names
// this entry as running it is then an orphan: the reply to its begin command was lost,
// and nothing has been dispatched.
func (l *liveTable[T]) idle(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.live[key] == nil && l.starting[key] == 0
}
