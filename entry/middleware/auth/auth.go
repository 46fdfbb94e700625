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
	authorizationHeader = "Authorization"
	bearerPrefix        = "bearer "
	// maxKeyLength limits the work of hashing a key, in bytes.
	maxKeyLength = 512
	// minPathKeyLength is the length in bytes from which a key is searched for in the path.
	// A shorter one, for example a made-up key, could match ordinary text.
	minPathKeyLength = 8
)

// Identity identifies the caller of a request. The zero value is an anonymous caller of an
// open route, which requires no key.
type Identity struct {
	KeyID string
	Org   string
}

// Lookup returns the identity that belongs to a key, given the key's SHA-256 hash in
// hexadecimal.
type Lookup func(hash string) (Identity, *errs.Error)

type contextKey struct{}

// New returns the middleware. Requests for which isOpenRoute returns true need no key. The
// header Authorization is removed, so that later handlers cannot log or forward it. redact
// must remove the key from the other headers and the query string. A request whose path
// contains the key is refused.
func New(lookup Lookup, isOpenRoute func(*http.Request) bool, redact func(r *http.Request, key string)) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			key := BearerKey(r)
			r.Header.Del(authorizationHeader)
			redact(r, key)
			if PathContainsKey(r, key) {
				reply.Error(w, r, errs.New(errs.BadRequest, "send the key in the header Authorization only", "the path contains the key"))
				return
			}
			if isOpenRoute(r) {
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
	return lookup(HashKey(key))
}

// HashKey returns the SHA-256 hash of a key in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// BearerKey returns the bearer token in the header Authorization, or "" if there is none.
func BearerKey(r *http.Request) string {
	value := r.Header.Get(authorizationHeader)
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

// PathContainsKey reports whether the path of a request contains its key.
func PathContainsKey(r *http.Request, key string) bool {
	return len(key) >= minPathKeyLength && strings.Contains(r.URL.Path, key)
}

// SafePath returns the path of a request for use in logs and traces, or "redacted" if the
// path contains the key.
func SafePath(r *http.Request) string {
	if PathContainsKey(r, BearerKey(r)) {
		return "redacted"
	}
	return r.URL.Path
}

// WithIdentity returns a copy of ctx that carries id.
func WithIdentity(ctx context.Context, id Identity) context.Context {
	return context.WithValue(ctx, contextKey{}, id)
}

// FromContext returns the identity that ctx carries, or the zero value.
func FromContext(ctx context.Context) Identity {
	id, _ := ctx.Value(contextKey{}).(Identity)
	return id
}
