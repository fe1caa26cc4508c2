package whole

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/serve/entry"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Front is one entry process.
type Front struct {
	Name    string
	Zone    string
	Address string
	Entry   *entry.Entry
	Holder  *spread.Holder
	// Sessions is the address at which other entries open sessions.
	Sessions string
	sessions *sessionPort
	process  *Server
	// operators is the operators' port; nil unless OpenOperators was called.
	operators *Server
	// outOfRotation is true if the load balancer has taken the entry out of
	// rotation.
	outOfRotation atomic.Bool
}

func (w *Whole) addEntry(i int) error {
	front := &Front{Name: fmt.Sprintf("entry-%d", i), Zone: w.zone(i)}
	listen := anyPort
	if i == 0 {
		listen = w.options.listen
	}
	if err := w.startEntry(front, listen); err != nil {
		return err
	}
	w.Fronts = append(w.Fronts, front)
	return nil
}

func (w *Whole) startEntry(front *Front, listen string) error {
	return withRole(roleEntry, func() error { return w.newEntry(front, listen) })
}

func (w *Whole) newEntry(front *Front, listen string) error {
	front.Holder = &spread.Holder{}
	if err := w.openSessions(front); err != nil {
		return err
	}
	opts := append([]entry.Option{
		entry.WithHolder(front.Holder), entry.WithLog(w.options.log), entry.WithDial(w.Net.Dial(front.Zone)),
	}, append(w.sharingOptions(front.Zone), w.options.entryOptions...)...)
	front.Entry = entry.New(entry.Settings{
		Process: front.Name, Host: "host-" + front.Name, AvailabilityZone: front.Zone, Address: front.Sessions,
		BalancerLag: clock.FromDuration(2 * balancerLag),
	}, opts...)
	front.serveSessions()
	var err error
	if front.process, err = Serve(listen, front.Entry.Handler()); err != nil {
		w.stopEntry(front)
		return err
	}
	if front.Address == "" {
		front.Address = front.process.Address()
	}
	w.Clients.SetZone(front.Address, front.Zone)
	return nil
}

// Shutdown stops accepting callers and waits until their requests are answered
// or the context ends.
func (f *Front) Shutdown(ctx context.Context) error { return f.process.Shutdown(ctx) }
