package feed

import "context"

// ReadList reads the list once.
func (f *Feed) ReadList(ctx context.Context) { f.readList(ctx) }

// RequireList makes the next list count even if its revision is known.
func (f *Feed) RequireList() { f.requireList() }

// Watch waits for changes until the context ends.
func (f *Feed) Watch(ctx context.Context) {
	if since, listed := f.knownRevision(); listed {
		f.watch(ctx, since)
	}
}
