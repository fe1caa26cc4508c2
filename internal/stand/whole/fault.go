package whole

import (
	"fmt"
	"time"

	"github.com/jujubescale/jujubescale/internal/stand/plat"
)

// FaultName is the kind of a fault, or of an action of operators.
type FaultName string

// Kinds of faults. Faults of endpoints, agents, entries and zones need a target.
const (
	EndpointSlow    FaultName = "endpointSlow"
	EndpointNormal  FaultName = "endpointNormal"
	EndpointDead    FaultName = "endpointDead"
	EndpointAlive   FaultName = "endpointAlive"
	EndpointSilent  FaultName = "endpointSilent"
	EndpointCold    FaultName = "endpointCold"
	EndpointRestart FaultName = "endpointRestart"
	EndpointCut     FaultName = "endpointCut"
	AgentKill       FaultName = "agentKill"
	AgentRestart    FaultName = "agentRestart"
	EntryKill       FaultName = "entryKill"
	EntryRestart    FaultName = "entryRestart"
	RollingRestart  FaultName = "rollingRestart"
	PlatformDown    FaultName = "platformDown"
	PlatformSlow    FaultName = "platformSlow"
	PlatformNormal  FaultName = "platformNormal"
	ZoneLeave       FaultName = "zoneLeave"
	ZoneReturn      FaultName = "zoneReturn"
	ZoneCut         FaultName = "zoneCut"
	ZoneHeal        FaultName = "zoneHeal"
	ZoneSilence     FaultName = "zoneSilence"
)

// Fault is one fault, or one action of operators.
type Fault struct {
	Name FaultName `json:"fault"`
	// Target is the name of an endpoint (also for faults of its agent), entry or
	// availability zone. It is empty if the fault needs none.
	Target string `json:"target,omitempty"`
	// Factor multiplies the duration of work at a slow endpoint.
	Factor float64 `json:"factor,omitempty"`
	// Share is the share of answers that are truncated.
	Share float64 `json:"share,omitempty"`
	// DelayMs is added to each call of a slow platform, in milliseconds.
	DelayMs int `json:"delayMs,omitempty"`
}

// UnknownTargetError means that the target or the kind of a fault does not
// exist.
type UnknownTargetError struct {
	Fault  FaultName
	Target string
}

// Error implements error.
func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("fault %q: there is no %q", e.Fault, e.Target)
}

// FaultNames returns all kinds of faults.
func FaultNames() []FaultName {
	return []FaultName{
		EndpointSlow, EndpointNormal, EndpointDead, EndpointAlive, EndpointSilent, EndpointCold, EndpointRestart,
		EndpointCut, AgentKill, AgentRestart, EntryKill, EntryRestart, RollingRestart, PlatformDown, PlatformSlow,
		PlatformNormal, ZoneLeave, ZoneReturn, ZoneCut, ZoneHeal, ZoneSilence,
	}
}

// Inject injects a fault. It returns an UnknownTargetError if the target or the
// kind does not exist.
func (w *Whole) Inject(fault Fault) error {
	switch fault.Name {
	case PlatformDown:
		w.Platform.SetFaults(plat.Faults{Down: true})
	case PlatformSlow:
		w.Platform.SetFaults(plat.Faults{Delay: time.Duration(fault.DelayMs) * time.Millisecond})
	case PlatformNormal:
		w.Platform.SetFaults(plat.Faults{})
	case ZoneCut:
		w.Net.CutZone(fault.Target)
	case ZoneHeal:
		w.Net.HealZone(fault.Target)
	case ZoneSilence:
		w.Net.SilenceZone(fault.Target)
	case ZoneLeave, ZoneReturn:
		return w.evacuateOrReturnZone(fault)
	case RollingRestart:
		return w.rollingRestart()
	case EntryKill, EntryRestart:
		return w.injectAtEntry(fault)
	case AgentKill, AgentRestart:
		return w.injectAtAgent(fault)
	default:
		return w.injectAtEndpoint(fault)
	}
	return nil
}

func (w *Whole) injectAtEndpoint(fault Fault) error {
	place := w.Place(fault.Target)
	if place == nil {
		return &UnknownTargetError{Fault: fault.Name, Target: fault.Target}
	}
	switch fault.Name {
	case EndpointSlow:
		place.Slots().SetSlow(fault.Factor)
	case EndpointDead:
		place.Frontend().SetDead(true)
	case EndpointSilent:
		place.Frontend().SetHang(true)
	case EndpointCold:
		place.Slots().TurnCold()
	case EndpointRestart:
		place.Slots().Restart()
	case EndpointCut:
		place.Frontend().SetTruncate(fault.Share)
	case EndpointNormal, EndpointAlive:
		place.Slots().SetSlow(1)
		place.Frontend().SetDead(false)
		place.Frontend().SetHang(false)
		place.Frontend().SetTruncate(0)
	default:
		return &UnknownTargetError{Fault: fault.Name, Target: fault.Target}
	}
	return nil
}

// Place returns the place of the endpoint with that name, or nil.
func (w *Whole) Place(endpoint string) *Place {
	for _, place := range w.Places {
		if place.Endpoint == endpoint {
			return place
		}
	}
	return nil
}

// Front returns the entry with that name, or nil.
func (w *Whole) Front(name string) *Front {
	for _, front := range w.Fronts {
		if front.Name == name {
			return front
		}
	}
	return nil
}

func (w *Whole) injectAtAgent(fault Fault) error {
	place := w.Place(fault.Target)
	if place == nil {
		return &UnknownTargetError{Fault: fault.Name, Target: fault.Target}
	}
	if fault.Name == AgentKill {
		return w.killAgent(place)
	}
	return w.restartAgent(place)
}

func (w *Whole) injectAtEntry(fault Fault) error {
	front := w.Front(fault.Target)
	if front == nil {
		return &UnknownTargetError{Fault: fault.Name, Target: fault.Target}
	}
	if fault.Name == EntryKill {
		w.stopEntry(front)
		return w.startEntry(front, front.Address)
	}
	return w.restartEntry(front)
}

// killAgent stops an agent without a graceful shutdown and starts another at the
// same address.
func (w *Whole) killAgent(place *Place) error {
	place.Agent.Close()
	place.process.Close()
	return w.startAgent(place, place.Address)
}
