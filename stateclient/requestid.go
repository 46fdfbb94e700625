package stateclient

import "context"

type requestIDKey struct{}

type requestIdentity struct {
	id     string
	resend bool
}

// WithRequestID returns a context under which the next command has the given request id
// instead of a new one. It must be used for one command only.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, requestIdentity{id: id})
}

// WithResend is like WithRequestID, for a command that repeats an earlier one with the same
// content whose outcome is uncertain.
func WithResend(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, requestIdentity{id: id, resend: true})
}

// requestID returns the request id of the context, or a new one.
func requestID(ctx context.Context) requestIdentity {
	if v, ok := ctx.Value(requestIDKey{}).(requestIdentity); ok {
		return v
	}
	return requestIdentity{id: NewRequestID()}
}
