package lease_test

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/lease"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// restoredPlatform stores one object and may come back from a copy at any step, as the client of
// a store with eras shows it.
type restoredPlatform struct {
	object store.Object
	at     store.Revision
	copies []restoredPlatform
}

func (p *restoredPlatform) save() {
	p.copies = append(p.copies, restoredPlatform{object: p.object, at: p.at})
}

func (p *restoredPlatform) restore(from restoredPlatform) {
	p.at = store.Revision{Era: p.at.Era + 1, Number: from.at.Number}
	p.object = from.object
	p.object.Version.Era = p.at.Era
	if from.object.Version.Number == 0 {
		p.object = store.Object{Name: "l"}
	}
}

func (p *restoredPlatform) store() *store.Store {
	return &store.Store{
		GetFunc: func(context.Context, string) (store.Object, error) {
			object := p.object
			object.Version.Era = p.at.Era
			return object, nil
		},
		PutFunc: func(_ context.Context, name string, want store.Revision, value []byte) (store.Object, error) {
			if want.Number != p.object.Version.Number || want.Era != p.at.Era {
				return store.Object{}, &store.ConflictError{Name: name, Want: want, Current: p.object}
			}
			p.at.Number++
			p.object = store.Object{Name: name, Version: p.at, Value: value}
			p.save()
			return p.object, nil
		},
	}
}

// Guards against two processes that hold a lease at once, or one fencing number one after the
// other, because the store came back from a copy without the earlier holder.
func TestLeaseHasOneHolderWhenTheStoreIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake, p := clock.NewFake(1), &restoredPlatform{object: store.Object{Name: "l"}, at: store.Revision{Era: 1, Number: 1}}
		p.save()
		leases := make([]*lease.Lease, 3)
		for i := range leases {
			nonces := 0
			leases[i] = lease.New(p.store(), "l", fmt.Sprint("holder-", i), lease.WithClock(sleepless(fake)), lease.WithTerm(term), lease.WithNonce(func() string {
				nonces++
				return fmt.Sprint(i, "/", nonces)
			}))
		}
		holders := make(map[uint64]int)
		record := func(i int) {
			fence := leases[i].Fence()
			if holder, known := holders[fence]; fence > 0 && known && holder != i {
				t.Fatalf("fencing number %d of holder %d is given to %d", fence, holder, i)
			}
			holders[fence] = i
		}
		draw := func() int { return rapid.IntRange(0, len(leases)-1).Draw(t, "lease") }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				fake.Advance(rapid.SampledFrom([]clock.Millis{1, term / 2, term - 1, term, 2 * term}).Draw(t, "ms"))
			},
			"acquire": func(t *rapid.T) {
				i := draw()
				if leases[i].Acquire(t.Context()) == nil {
					record(i)
				}
			},
			"renew": func(t *rapid.T) {
				i := draw()
				if leases[i].Fence() > 0 && leases[i].Renew(t.Context()) == nil {
					record(i)
				}
			},
			"release": func(t *rapid.T) { _ = leases[draw()].Release(t.Context()) },
			"restore": func(t *rapid.T) {
				p.restore(p.copies[rapid.IntRange(0, len(p.copies)-1).Draw(t, "copy")])
				p.save()
			},
			"": func(t *rapid.T) {
				valid := 0
				for _, l := range leases {
					if l.Valid() {
						valid++
					}
				}
				if valid > 1 {
					t.Fatalf("%d holders at once", valid)
				}
			},
		})
	})
}
