package apply

import (
	"context"
	"slices"

	"github.com/jujubescale/jujubescale/internal/share/head"
)

// EvacuateZone sets an availability zone to evacuated: it gets no new work. It only
// changes the head, so it doesn't conflict with an apply at the same time.
func (o *Operator) EvacuateZone(ctx context.Context, zone string, change Change) (Result, error) {
	return o.setZone(ctx, zone, head.ZoneEvacuated, head.ActionZoneLeave, change)
}

// ReturnZone ends the evacuation of an availability zone. Its state becomes
// returning: its work grows in steps, and its endpoints load models one after
// another.
func (o *Operator) ReturnZone(ctx context.Context, zone string, change Change) (Result, error) {
	return o.setZone(ctx, zone, head.ZoneReturning, head.ActionZoneReturn, change)
}

// SettleZone ends the return of a zone: its state becomes in.
func (o *Operator) SettleZone(ctx context.Context, zone string, change Change) (Result, error) {
	return o.setZone(ctx, zone, head.ZoneIn, head.ActionZoneIn, change)
}

func (o *Operator) setZone(ctx context.Context, zone string, state head.ZoneState, action head.Action, change Change) (Result, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return Result{}, err
	}
	if current == nil || !slices.Contains(current.Manifest.AvailabilityZones, zone) {
		return Result{}, &NotFoundError{Kind: "availability zone", Name: zone}
	}
	before := zoneDecision(current.Head, zone)
	return o.change(ctx, change, edit{
		action:  action,
		subject: zone,
		// Another operator has changed this zone since the expected release, or
		// between the read and the write of this action.
		collides: func(now *head.Head) bool {
			latest := zoneDecision(now, zone)
			return latest.Release > before.Release || (change.Expected != 0 && latest.Release > change.Expected)
		},
		done: func(now *head.Head) bool { return unchanged(now.ZoneState(zone), state) },
		edit: func(next *head.Head) {
			next.SetZone(head.Zone{
				Name: zone, State: state, ChangedBy: change.Who, Reason: change.Reason, Release: next.Release,
			})
		},
	})
}

// unchanged reports whether a zone needs no change. A zone that is in needs no
// return.
func unchanged(now, want head.ZoneState) bool {
	return now == want || (now == head.ZoneIn && want == head.ZoneReturning)
}

func zoneDecision(h *head.Head, zone string) head.Zone {
	for _, z := range h.Zones {
		if z.Name == zone {
			return z
		}
	}
	return head.Zone{Name: zone, State: head.ZoneIn}
}

// DisableEndpoint disables one endpoint: it gets no new work.
func (o *Operator) DisableEndpoint(ctx context.Context, pool, endpoint string, change Change) (Result, error) {
	return o.setEndpoint(ctx, pool, endpoint, true, change)
}

// EnableEndpoint reverses DisableEndpoint.
func (o *Operator) EnableEndpoint(ctx context.Context, pool, endpoint string, change Change) (Result, error) {
	return o.setEndpoint(ctx, pool, endpoint, false, change)
}

func (o *Operator) setEndpoint(ctx context.Context, pool, endpoint string, disabled bool, change Change) (Result, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return Result{}, err
	}
	if current == nil || !hasPool(current, pool) {
		return Result{}, &NotFoundError{Kind: "pool", Name: pool}
	}
	action := head.ActionEndpointReturn
	if disabled {
		action = head.ActionEndpointLeave
	}
	return o.change(ctx, change, edit{
		action:   action,
		subject:  pool + "/" + endpoint,
		collides: func(*head.Head) bool { return false },
		done:     func(now *head.Head) bool { return now.EndpointDisabled(pool, endpoint) == disabled },
		edit: func(next *head.Head) {
			next.SetEndpoint(head.Endpoint{
				Pool: pool, Endpoint: endpoint, ChangedBy: change.Who, Reason: change.Reason,
			}, disabled)
		},
	})
}

func hasPool(config *Config, name string) bool {
	for i := range config.Manifest.Pools {
		if config.Manifest.Pools[i].Name == name {
			return true
		}
	}
	return false
}
