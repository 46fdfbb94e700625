package auth

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/figlb/figlb/entry/reply"
	"github.com/figlb/figlb/errs"
)

const (
	header = "Authorization"
	scheme = "bearer "
	// maxKeyLength bounds the work for one key, in bytes.
	maxKeyLength = 512
	// minSecretLength keeps nonsense keys from matching ordinary text, in bytes.
	minSecretLength = 8
)

// Identity is who sent a request. The zero value is an anonymous caller of an open
// route.
type Identity struct {
	KeyID string
	Org   string
}

// Lookup returns the identity of the key with a SHA-256 (hexadecimal).
type Lookup func(hash string) (Identity, *errs.Error)

type contextKey struct{}

// New returns the middleware. Requests for which open returns true need no key. The
// Authorization header is removed, so that nothing behind the middleware can log or
// forward it; redact removes other places that contain the key.
func New(lookup Lookup, open func(*http.Request) bool, redact func(r *http.Request, key string)) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			key := Bearer(r)
			r.Header.Del(header)
			redact(r, key)
			if InPath(r, key) {
				reply.Error(w, r, errs.New(errs.BadRequest, "send the key in the header Authorization only", "the path contains the key"))
				return
			}
			if open(r) {
				next.ServeHTTP(w, r)
				return
			}
			id, e := identify(lookup, key)
			if e != nil {
				reply.Error(w, r, e)
				return
			}
			next.ServeHTTP(w, r.WithContext(WithIdentity(r.Context(), id)))
		})
	}
}

func identify(lookup Lookup, key string) (Identity, *errs.Error) {
	if key == "" || len(key) > maxKeyLength {
		return Identity{}, errs.New(errs.Unauthorized, "send the header Authorization: Bearer KEY", "the request has no valid key")
	}
	return lookup(Hash(key))
}

// Hash returns the SHA-256 of a key, hexadecimal.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Bearer returns the key that was sent with a request, or "".
func Bearer(r *http.Request) string {
	value := r.Header.Get(header)
	if len(value) < len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(value[len(scheme):])
}

// InPath reports whether a request's path contains its key.
func InPath(r *http.Request, key string) bool {
	return len(key) >= minSecretLength && strings.Contains(r.URL.Path, key)
}

// SafePath returns the path of a request for logs: without the key, if it contains it.
func SafePath(r *http.Request) string {
	if InPath(r, Bearer(r)) {
		return "redacted"
	}
	return r.URL.Path
}

// WithIdentity returns ctx with an identity.
func WithIdentity(ctx context.Context, id Identity) context.Context {
	return context.WithValue(ctx, contextKey{}, id)
}

// FromContext returns the identity of the request, or the zero value.
func FromContext(ctx context.Context) Identity {
	id, _ := ctx.Value(contextKey{}).(Identity)
	return id
}
