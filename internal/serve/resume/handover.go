package resume

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// handoverMessages returns handovers as peers get them.
func handoverMessages(handovers []origin.Handover, now clock.Millis) []wire.OriginHandover {
	messages := make([]wire.OriginHandover, 0, len(handovers))
	for _, h := range handovers {
		message := wire.OriginHandover{Process: h.Process, Age: now - h.At, Next: h.Next}
		for _, view := range h.Views {
			message.Views = append(message.Views, wire.OriginView{Age: now - view.Since, Names: view.Names})
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
			h.Views = append(h.Views, origin.View{Since: now - max(view.Age, 0), Names: view.Names})
		}
		handovers = append(handovers, h)
	}
	return handovers
}
