package entry

import (
	"context"
	"sync"
)

// activeKeys knows the requests in flight of each key.
type activeKeys struct {
	mu     sync.Mutex
	nextID uint64
	byKey  map[string]map[uint64]context.CancelCauseFunc
}

func newActiveKeys() *activeKeys {
	return &activeKeys{byKey: map[string]map[uint64]context.CancelCauseFunc{}}
}

// track returns a context that is cancelled with the cause key_revoked when the key is
// revoked. An empty key is never revoked. The caller must call done.
func (a *activeKeys) track(ctx context.Context, keyID string) (_ context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if keyID == "" {
		return ctx, func() { cancel(nil) }
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextID++
	id := a.nextID
	if a.byKey[keyID] == nil {
		a.byKey[keyID] = map[uint64]context.CancelCauseFunc{}
	}
	a.byKey[keyID][id] = cancel
	return ctx, func() {
		cancel(nil)
		a.remove(keyID, id)
	}
}

// trackKey is track for the current configuration: a key that was revoked between the
// look-up and now ends the request, too.
func (e *Entry) trackKey(ctx context.Context, keyID string) (_ context.Context, done func()) {
	ctx, done = e.keys.track(ctx, keyID)
	if s := e.config.snapshot(); keyID != "" && s.revoked(keyID) {
		e.keys.cancelRevoked(s.revoked)
	}
	return ctx, done
}

func (a *activeKeys) remove(keyID string, id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byKey[keyID], id)
	if len(a.byKey[keyID]) == 0 {
		delete(a.byKey, keyID)
	}
}

// cancelRevoked cancels the requests of all keys for which revoked returns true.
func (a *activeKeys) cancelRevoked(revoked func(keyID string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for keyID, requests := range a.byKey {
		if !revoked(keyID) {
			continue
		}
		for _, cancel := range requests {
			cancel(keyRevoked())
		}
	}
}
