package resume

import (
	"context"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Found is what is known of the origin of a stream.
type Found struct {
	// Origin may be used if Verdict is Known.
	Origin  origin.Origin
	Verdict origin.Verdict
	// Source is the process that knows the origin, "" if none does.
	Source string
	// Asked is the number of peers that were asked, and Answered of those that answered
	// before the end.
	Asked, Answered int
	Took            clock.Millis
	// Kept is the longest time for which one of them has kept all streams with the key.
	Kept clock.Millis
	// Loading is set if one of them was still reading the platform's store.
	Loading bool
}

// Age returns the time since the stream began, 0 if its origin isn't known.
func (f *Found) Age(now clock.Millis) clock.Millis {
	if f.Verdict != origin.Known {
		return 0
	}
	return now - f.Origin.BeganAt
}

// reply is the answer of one peer, nil for none.
type reply struct {
	peer     string
	searched bool
	answer   *wire.OriginAnswer
}

// Find returns the origin of a stream. If this process doesn't know it, it asks its aggregator,
// which has sessions to the processes that should. It asks these itself if the aggregator has
// not answered within searchHead. The first answer that knows the origin counts. While one of them
// reads the platform's store it asks again, within loadTimeout.
func (t *Tracker) Find(ctx context.Context, key origin.Key) Found {
	began := t.clock.Now()
	found := t.findOnce(ctx, key)
	for found.Verdict == origin.Unknown && found.Loading && t.clock.Since(began) < loadTimeout {
		if t.clock.Sleep(ctx, loadPause) != nil {
			break
		}
		found = t.findOnce(ctx, key)
	}
	found.Took = t.clock.Since(began)
	t.meter.found.WithLabelValues(found.Verdict.String(), source(&found, t.peers.Self)).Inc()
	return found
}

func (t *Tracker) findOnce(ctx context.Context, key origin.Key) Found {
	found := Found{Loading: t.loading.Load() && t.keeps()}
	found.Origin, found.Verdict = t.book.Find(key, t.clock.Now())
	if found.Verdict == origin.Unknown {
		t.ask(ctx, key, t.peers.AggregatorFunc(), findTimeout, &found)
	} else {
		found.Source = t.peers.Self
	}
	return found
}

// FindCommon returns the origin of the streams that share a key and began within a span, if all of
// them agree. Several processes may have begun them, so it takes the answers of all processes that
// should know one of them, within findTimeout. One of these must have kept the streams for the
// whole span: after others have ended, what is left may not be all. What this process has kept counts
// only if one of the others answers: a process that they can't reach gets nothing of what they begin.
func (t *Tracker) FindCommon(ctx context.Context, key origin.Key, span clock.Millis) Found {
	began := t.clock.Now()
	found := Found{Kept: t.kept(key, began)}
	if found.Origin, found.Verdict = t.book.Find(key, began); found.Verdict != origin.Unknown {
		found.Source = t.peers.Self
	}
	if found.Verdict != origin.Contradictory {
		t.askAll(ctx, key, &found)
	}
	inTouch := found.Answered > 0 || t.peers.AloneFunc()
	if found.Verdict == origin.Known && (found.Kept < span || !inTouch) {
		found.Verdict = origin.Unknown
	}
	found.Took = t.clock.Since(began)
	t.meter.found.WithLabelValues(found.Verdict.String(), source(&found, t.peers.Self)).Inc()
	return found
}

// askAll asks the peers that should know the origin until all have answered or they contradict
// each other.
func (t *Tracker) askAll(ctx context.Context, key origin.Key, found *Found) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepers := t.otherKeepers(key)
	replies := make(chan reply, len(keepers))
	for _, name := range keepers {
		found.Asked++
		go t.askPeer(ctx, key, name, false, replies)
	}
	timeout, stop := t.clock.After(findTimeout)
	defer stop()
	for range keepers {
		select {
		case r := <-replies:
			known := *found
			if t.apply(key, r, found) && known.Verdict == origin.Known && found.Verdict == origin.Known && !known.Origin.Agrees(&found.Origin) {
				found.Verdict = origin.Contradictory
			}
		case <-timeout:
			return
		}
		if found.Verdict == origin.Contradictory {
			return
		}
	}
}

// otherKeepers returns the peers that should know the origin of a stream.
func (t *Tracker) otherKeepers(key origin.Key) []string {
	return slices.DeleteFunc(origin.Asked(key, t.peers.KeepersFunc()), func(name string) bool { return name == t.peers.Self })
}

// askPeer asks one peer and sends its reply on a channel with room for it.
func (t *Tracker) askPeer(ctx context.Context, key origin.Key, name string, search bool, replies chan<- reply) {
	answer, err := t.peers.AskFunc(ctx, name, &wire.OriginRequest{Stream: key[:], Search: search})
	if err != nil {
		answer = nil
	}
	replies <- reply{peer: name, searched: search, answer: answer}
}

// source returns the label for the process that knew an origin.
func source(found *Found, self string) string {
	switch found.Source {
	case "":
		return "none"
	case self:
		return "self"
	default:
		return "peer"
	}
}

// Search answers a peer's request for an origin, and asks the processes that should know it. It
// blocks up to searchTimeout.
func (t *Tracker) Search(ctx context.Context, request *wire.OriginRequest) *wire.OriginAnswer {
	answer := t.Answer(request)
	if answer.Origin != nil || len(request.Stream) != len(origin.Key{}) {
		return answer
	}
	key, found := origin.Key(request.Stream), Found{}
	t.ask(ctx, key, "", searchTimeout, &found)
	answer.Complete, answer.Loading = found.Answered == found.Asked, answer.Loading || found.Loading
	if found.Verdict != origin.Unknown {
		o := message(key, &found.Origin, t.clock.Now())
		o.Contradictory = found.Verdict == origin.Contradictory
		answer.Origin = &o
	}
	return answer
}

// ask asks an aggregator, if one is given, and the peers that should know the origin: at once
// without an aggregator, otherwise after its answer or searchHead.
func (t *Tracker) ask(ctx context.Context, key origin.Key, aggregator string, limit clock.Millis, found *Found) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepers := t.otherKeepers(key)
	replies := make(chan reply, len(keepers)+1)
	start := func(name string, search bool) {
		found.Asked++
		go t.askPeer(ctx, key, name, search, replies)
	}
	startAll := func() {
		for _, name := range keepers {
			start(name, false)
		}
		keepers = nil
	}
	timeout, stop := t.clock.After(limit)
	defer stop()
	head, stopHead := t.clock.After(searchHead)
	defer stopHead()
	if aggregator != "" {
		start(aggregator, true)
	} else {
		startAll()
	}
	for pending := found.Asked; pending > 0; {
		select {
		case r := <-replies:
			pending--
			if t.apply(key, r, found) || (r.searched && r.answer != nil && r.answer.Complete) {
				return
			}
		case <-head:
			head = nil
		case <-timeout:
			return
		}
		before := found.Asked
		startAll()
		pending += found.Asked - before
	}
}

// apply applies a reply and reports whether it decides.
func (t *Tracker) apply(key origin.Key, r reply, found *Found) bool {
	if r.answer == nil {
		return false
	}
	found.Answered++
	found.Kept, found.Loading = max(found.Kept, r.answer.Kept), found.Loading || r.answer.Loading
	if r.answer.Origin == nil {
		return false
	}
	stream, known, ok := parse(r.answer.Origin, t.clock.Now())
	if !ok || stream != key {
		t.meter.dropped.WithLabelValues(droppedMalformed).Inc()
		return false
	}
	found.Origin, found.Verdict, found.Source = known, origin.Known, r.peer
	if r.answer.Origin.Contradictory {
		found.Verdict = origin.Contradictory
	}
	return true
}
