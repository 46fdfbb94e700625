package entry

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
}

// secretParts mark names of headers and parameters that may contain credentials.
var secretParts = []string{"auth", "cookie", "key", "token", "secret", "password", "credential"}

// ownHeaders are figlb's, or are set anew on each hop.
var ownHeaders = map[string]bool{"Traceparent": true, "Tracestate": true, "Baggage": true, "X-Request-Id": true}

const ownHeaderPrefix = "Figlb-"

func namesSecret(name string) bool {
	name = strings.ToLower(name)
	for _, p := range secretParts {
		if strings.Contains(name, p) {
			return true
		}
	}
	return false
}

// redact removes all headers and query parameters that may contain a caller's key:
// those with a telling name, and those with the key as a part of their value. The
// Idempotency-Key stays for figlb's own use.
func redact(r *http.Request, key string) {
	for name, values := range r.Header {
		if name != headerIdempotencyKey && (namesSecret(name) || containsKey(values, key)) {
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

// redactQuery keeps the order and the encoding of the other parameters.
func redactQuery(query, key string) string {
	var kept []string
	for _, part := range strings.Split(query, "&") {
		name, value, _ := strings.Cut(part, "=")
		plainName, err1 := url.QueryUnescape(name)
		plainValue, err2 := url.QueryUnescape(value)
		if err1 != nil || err2 != nil || secretParameter(plainName) || containsKey([]string{plainName, plainValue}, key) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "&")
}

// secretParameter is narrower than namesSecret: parameters such as "keyword" or
// "session" are ordinary data of services.
func secretParameter(name string) bool {
	switch strings.ToLower(name) {
	case "key", "api_key", "apikey", "api-key", "access_token", "token", "authorization":
		return true
	}
	return false
}

// targetHeader returns the headers of a request that go to a target.
func targetHeader(h http.Header) http.Header {
	out := http.Header{}
	named := connectionNames(h)
	for name, values := range h {
		if hopHeaders[name] || named[name] || ownHeaders[name] || namesSecret(name) || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		out[name] = append([]string(nil), values...)
	}
	if out.Get("User-Agent") == "" {
		out["User-Agent"] = []string{""} // net/http adds its own otherwise
	}
	return out
}

// callerHeader returns the headers of a target's answer that go to the caller.
func callerHeader(h http.Header) http.Header {
	out := http.Header{}
	named := connectionNames(h)
	for name, values := range h {
		if hopHeaders[name] || named[name] || ownHeaders[name] || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		out[name] = values
	}
	return out
}

// connectionNames returns the headers that the Connection header names.
func connectionNames(h http.Header) map[string]bool {
	out := map[string]bool{}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}
