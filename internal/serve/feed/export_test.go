package feed

import "context"

// ReadList reads the list once.
func (f *Feed) ReadList(ctx context.Context) { f.readList(ctx) }

// Watch waits for changes until the context ends.
func (f *Feed) Watch(ctx context.Context) {
	if since, listed := f.knownRevision(); listed {
		f.watch(ctx, since)
	}
}
