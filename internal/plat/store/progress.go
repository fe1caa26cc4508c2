package store

import "context"

// Progress is the part of an answer that has arrived, in bytes.
type Progress struct {
	// Total is the length of the answer, -1 if the store has not stated it.
	Received, Total int64
}

type progressKey struct{}

// WithProgress returns a context for a call. The function is called when the answer begins, and after each part of it.
func WithProgress(ctx context.Context, report func(Progress)) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// ReportProgress passes progress on to the function of WithProgress, if there is one. Clients of the store call it.
func ReportProgress(ctx context.Context, p Progress) {
	if report, ok := ctx.Value(progressKey{}).(func(Progress)); ok {
		report(p)
	}
}
