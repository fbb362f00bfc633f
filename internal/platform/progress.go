package platform

import "context"

type progressKey struct{}

// WithProgress returns a context with a function that store calls may call while they receive a reply, with the size of what
// has arrived so far.
func WithProgress(ctx context.Context, report func(received int)) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// ReportProgress calls the function of WithProgress, if the context has one.
func ReportProgress(ctx context.Context, received int) {
	if report, ok := ctx.Value(progressKey{}).(func(int)); ok {
		report(received)
	}
}
