package entry

import (
	"context"
	"sync"
)

// activeKeys tracks the in-flight requests of each caller key, so that they can be cancelled
// when the key is revoked.
type activeKeys struct {
	mu      sync.Mutex
	nextID  uint64
	cancels map[string]map[uint64]context.CancelCauseFunc // by key ID and request ID
}

func newActiveKeys() *activeKeys {
	return &activeKeys{cancels: map[string]map[uint64]context.CancelCauseFunc{}}
}

// track registers a request and returns a context that is cancelled with the cause
// key_revoked when the key is revoked. Requests with an empty key ID are not tracked. The
// caller must call done when the request ends.
func (a *activeKeys) track(ctx context.Context, keyID string) (_ context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if keyID == "" {
		return ctx, func() { cancel(nil) }
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextID++
	id := a.nextID
	if a.cancels[keyID] == nil {
		a.cancels[keyID] = map[uint64]context.CancelCauseFunc{}
	}
	a.cancels[keyID][id] = cancel
	return ctx, func() {
		cancel(nil)
		a.remove(keyID, id)
	}
}

// trackKey registers a request with the tracker of active keys. It also cancels the request
// if the key was revoked between its lookup and its registration.
func (e *Entry) trackKey(ctx context.Context, keyID string) (_ context.Context, done func()) {
	ctx, done = e.activeKeys.track(ctx, keyID)
	if s := e.config.snapshot(); keyID != "" && s.revoked(keyID) {
		e.activeKeys.cancelRevoked(s.revoked)
	}
	return ctx, done
}

func (a *activeKeys) remove(keyID string, id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.cancels[keyID], id)
	if len(a.cancels[keyID]) == 0 {
		delete(a.cancels, keyID)
	}
}

// cancelRevoked cancels the requests of all keys for which revoked returns true.
func (a *activeKeys) cancelRevoked(revoked func(keyID string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for keyID, requests := range a.cancels {
		if !revoked(keyID) {
			continue
		}
		for _, cancel := range requests {
			cancel(keyRevokedError())
		}
	}
}
