package coordinator

import "context"

type sendCheckKey struct{}

// WithSendCheck returns a context whose calls to servers are sent only while a function allows it. A call may wait for a connection, so
// that the permission is over by then.
func WithSendCheck(ctx context.Context, allowed func() bool) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, allowed)
}

// MaySend reports whether a call to a server may be sent now.
func MaySend(ctx context.Context) bool {
	allowed, ok := ctx.Value(sendCheckKey{}).(func() bool)
	return !ok || allowed()
}
