package entry

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
}

// secretHeaderParts are substrings of the names of headers that may contain credentials.
var secretHeaderParts = []string{"auth", "cookie", "key", "token", "secret", "password", "credential"}

// managedHeaders are set by figlb itself or anew on each hop, and are not forwarded.
var managedHeaders = map[string]bool{"Traceparent": true, "Tracestate": true, "Baggage": true, "X-Request-Id": true}

const figlbHeaderPrefix = "Figlb-"

func isSecretHeader(name string) bool {
	name = strings.ToLower(name)
	for _, p := range secretHeaderParts {
		if strings.Contains(name, p) {
			return true
		}
	}
	return false
}

// redact removes all headers and query parameters that may contain credentials: those with a
// suspicious name, and those whose value contains the caller's key. The Idempotency-Key
// header is kept for use by figlb.
func redact(r *http.Request, key string) {
	for name, values := range r.Header {
		if name != headerIdempotencyKey && (isSecretHeader(name) || containsKey(values, key)) {
			delete(r.Header, name)
		}
	}
	if r.URL.RawQuery == "" {
		return
	}
	r.URL.RawQuery = redactQuery(r.URL.RawQuery, key)
	r.RequestURI = r.URL.RequestURI()
}

func containsKey(values []string, key string) bool {
	if key == "" {
		return false
	}
	for _, v := range values {
		if strings.Contains(v, key) {
			return true
		}
	}
	return false
}

// redactQuery removes secret query parameters. The order and encoding of the others is kept.
func redactQuery(query, key string) string {
	var kept []string
	for _, part := range strings.Split(query, "&") {
		name, value, _ := strings.Cut(part, "=")
		plainName, err1 := url.QueryUnescape(name)
		plainValue, err2 := url.QueryUnescape(value)
		if err1 != nil || err2 != nil || isSecretParameter(plainName) || containsKey([]string{plainName, plainValue}, key) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "&")
}

// isSecretParameter is stricter than isSecretHeader: it matches whole names only, because
// parameters such as "keyword" or "session" are ordinary data of services.
func isSecretParameter(name string) bool {
	switch strings.ToLower(name) {
	case "key", "api_key", "apikey", "api-key", "access_token", "token", "authorization":
		return true
	}
	return false
}

// headersForTarget returns the request headers to forward to a target.
func headersForTarget(h http.Header) http.Header {
	out := http.Header{}
	named := connectionHeaders(h)
	for name, values := range h {
		if hopByHopHeaders[name] || named[name] || managedHeaders[name] || isSecretHeader(name) || strings.HasPrefix(name, figlbHeaderPrefix) {
			continue
		}
		out[name] = append([]string(nil), values...)
	}
	if out.Get("User-Agent") == "" {
		out["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	return out
}

// headersForCaller returns the response headers of a target to forward to the caller.
func headersForCaller(h http.Header) http.Header {
	out := http.Header{}
	named := connectionHeaders(h)
	for name, values := range h {
		if hopByHopHeaders[name] || named[name] || managedHeaders[name] || strings.HasPrefix(name, figlbHeaderPrefix) {
			continue
		}
		out[name] = values
	}
	return out
}

// connectionHeaders returns the hop-by-hop headers that are listed in the Connection header.
func connectionHeaders(h http.Header) map[string]bool {
	out := map[string]bool{}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}
