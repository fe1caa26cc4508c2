package resume

import (
	"math/rand/v2"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

// maxPartial bounds the handovers of which not all parts have arrived.
const maxPartial = 64

// partialHandover is a handover of which some parts have arrived since an instant.
type partialHandover struct {
	since     clock.Millis
	arrived   int
	handovers []origin.Handover
}

// sendHandover sends a peer the origins that it keeps from now on, and the histories that prove for
// how long nothing was left out.
func (t *Tracker) sendHandover(name string, origins []wire.Origin, handovers []wire.OriginHandover) {
	if name == t.peers.Self {
		return
	}
	parts := slices.Collect(slices.Chunk(origins, maxPerMessage))
	if len(parts) == 0 {
		parts = append(parts, nil)
	}
	id := rand.Uint64()
	for i, part := range parts {
		message := &wire.Origins{Forwarded: true, Origins: part, Parts: len(parts), HandoverID: id}
		if i == 0 {
			message.Handovers = handovers
		}
		if err := t.peers.SendFunc(name, message); err != nil {
			t.log.Debug("stream origins not handed over", "peer", name, "origins", len(part), logs.KeyError, err)
		}
	}
}

// takePart records a part of a handover. Its histories count once all parts have arrived.
func (t *Tracker) takePart(part *wire.Origins, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.partial[part.HandoverID]
	if known == nil && len(t.partial) >= maxPartial {
		return
	}
	if known == nil {
		known = &partialHandover{since: now}
		t.partial[part.HandoverID] = known
	}
	known.arrived++
	known.handovers = append(known.handovers, handoversOf(part.Handovers, now)...)
	if known.arrived == part.Parts {
		t.history.Take(known.handovers)
		delete(t.partial, part.HandoverID)
	}
}

// dropPartial drops handovers of which a part was lost.
func (t *Tracker) dropPartial(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, known := range t.partial {
		if now-known.since > maxLifetime {
			delete(t.partial, id)
		}
	}
}

// handoverMessages returns handovers as peers get them.
func handoverMessages(handovers []origin.Handover, now clock.Millis) []wire.OriginHandover {
	messages := make([]wire.OriginHandover, 0, len(handovers))
	for _, h := range handovers {
		message := wire.OriginHandover{Process: h.Process, Age: max(now-h.At, 0), Next: h.Next}
		for _, view := range h.Views {
			message.Views = append(message.Views, wire.OriginView{Age: now - view.From, Names: view.Names})
		}
		messages = append(messages, message)
	}
	return messages
}

// handoversOf returns the handovers in a message, without malformed ones.
func handoversOf(messages []wire.OriginHandover, now clock.Millis) []origin.Handover {
	handovers := make([]origin.Handover, 0, len(messages))
	for _, message := range messages {
		if message.Process == "" || message.Age < 0 || message.Age > maxLifetime {
			continue
		}
		h := origin.Handover{Process: message.Process, At: now - message.Age, Next: message.Next}
		for _, view := range message.Views {
			h.Views = append(h.Views, origin.View{From: now - max(view.Age, 0), Names: view.Names})
		}
		handovers = append(handovers, h)
	}
	return handovers
}
