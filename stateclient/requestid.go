package stateclient

import "context"

type requestIDKey struct{}

type requestIdentity struct {
	id     string
	resend bool
}

// WithRequestID returns a context under which the next command has the given request id
// instead of a new one. It serves one command.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, requestIdentity{id: id})
}

// WithResend is WithRequestID for a command that continues an earlier one with the same
// content, whose outcome is uncertain.
func WithResend(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, requestIdentity{id: id, resend: true})
}

func requestID(ctx context.Context) requestIdentity {
	if v, ok := ctx.Value(requestIDKey{}).(requestIdentity); ok {
		return v
	}
	return requestIdentity{id: NewRequestID()}
}
