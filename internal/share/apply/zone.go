package apply

import (
	"context"
	"slices"

	"github.com/jujubescale/jujubescale/internal/share/head"
)

// LeaveZone takes an availability zone out: no new work goes there. It touches
// the head alone and so merges with an apply that runs at the same time.
func (o *Operator) LeaveZone(ctx context.Context, zone string, change Change) (Result, error) {
	return o.setZone(ctx, zone, head.ZoneLeft, head.ActionZoneLeave, change)
}

// ReturnZone brings an availability zone back. The zone is returning: work
// grows in steps there and models are loaded one endpoint after another.
func (o *Operator) ReturnZone(ctx context.Context, zone string, change Change) (Result, error) {
	return o.setZone(ctx, zone, head.ZoneReturning, head.ActionZoneReturn, change)
}

// SettleZone ends the return of a zone.
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
	seen := decisionOn(current.Head, zone)
	return o.change(ctx, change, edit{
		action:  action,
		subject: zone,
		// Someone else decided on this zone since the operator looked, or
		// between this action's read and its write.
		collides: func(now *head.Head) bool {
			decided := decisionOn(now, zone)
			return decided.Release > seen.Release || (change.Expected != 0 && decided.Release > change.Expected)
		},
		done: func(now *head.Head) bool { return alreadySo(now.ZoneState(zone), state) },
		edit: func(next *head.Head) {
			next.SetZone(head.Zone{
				Name: zone, State: state, ChangedBy: change.Who, Reason: change.Reason, Release: next.Release,
			})
		},
	})
}

// alreadySo reports that a zone needs no change: a zone that is in needs no
// return.
func alreadySo(now, want head.ZoneState) bool {
	return now == want || (now == head.ZoneIn && want == head.ZoneReturning)
}

func decisionOn(h *head.Head, zone string) head.Zone {
	for _, z := range h.Zones {
		if z.Name == zone {
			return z
		}
	}
	return head.Zone{Name: zone, State: head.ZoneIn}
}

// LeaveEndpoint takes one endpoint out.
func (o *Operator) LeaveEndpoint(ctx context.Context, pool, endpoint string, change Change) (Result, error) {
	return o.setEndpoint(ctx, pool, endpoint, true, change)
}

// ReturnEndpoint brings one endpoint back.
func (o *Operator) ReturnEndpoint(ctx context.Context, pool, endpoint string, change Change) (Result, error) {
	return o.setEndpoint(ctx, pool, endpoint, false, change)
}

func (o *Operator) setEndpoint(ctx context.Context, pool, endpoint string, left bool, change Change) (Result, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return Result{}, err
	}
	if current == nil || !hasPool(current, pool) {
		return Result{}, &NotFoundError{Kind: "pool", Name: pool}
	}
	action := head.ActionEndpointReturn
	if left {
		action = head.ActionEndpointLeave
	}
	return o.change(ctx, change, edit{
		action:   action,
		subject:  pool + "/" + endpoint,
		collides: func(*head.Head) bool { return false },
		done:     func(now *head.Head) bool { return now.EndpointDisabled(pool, endpoint) == left },
		edit: func(next *head.Head) {
			next.SetEndpoint(head.Endpoint{
				Pool: pool, Endpoint: endpoint, ChangedBy: change.Who, Reason: change.Reason,
			}, left)
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
