package slots

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Frontend is what stands before an endpoint's calls: its load report, which lags,
// and the faults of its connections.
type Frontend struct {
	slots *Slots
	lag   time.Duration

	mu     sync.Mutex
	dead   bool
	silent bool
	cut    float64
	random *rand.Rand
	past   []report
}

type report struct {
	at    time.Time
	state State
}

// Load is the body of GET /v1/load.
type Load struct {
	StartID uint64   `json:"startId"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Limit   int      `json:"limit"`
	Cold    bool     `json:"cold"`
	Models  []string `json:"models,omitempty"`
	Role    string   `json:"role,omitempty"`
	AsOfMs  int64    `json:"asOfMs"`
}

// NewFrontend returns the door of an endpoint whose load report is lag old.
func NewFrontend(slots *Slots, lag time.Duration) *Frontend {
	return &Frontend{slots: slots, lag: lag, random: rand.New(rand.NewPCG(1, 1))}
}

// SetDead makes the endpoint close every connection without an answer.
func (d *Frontend) SetDead(dead bool) {
	d.mu.Lock()
	d.dead = dead
	d.mu.Unlock()
	if dead {
		d.slots.Restart()
	}
}

// SetHang makes the endpoint accept calls and never answer them.
func (d *Frontend) SetHang(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

// SetTruncate makes the endpoint close a share of its calls in the middle of their
// answer, drawn from a fixed seed. The work itself goes on or is done.
func (d *Frontend) SetTruncate(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = share
}

// ShouldTruncate draws whether this call's answer is cut.
func (d *Frontend) ShouldTruncate() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut > 0 && d.random.Float64() < d.cut
}

// Guard puts the faults before a handler.
func (d *Frontend) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		dead, silent := d.dead, d.silent
		d.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Report returns the lagging load report. A restart shows at once: the
// process that answers is the new one.
func (d *Frontend) Report() Load {
	now := time.Now()
	current := d.slots.State()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.past = append(d.past, report{at: now, state: current})
	for len(d.past) > 1 && now.Sub(d.past[1].at) >= d.lag {
		d.past = d.past[1:]
	}
	shown := d.past[0]
	if shown.state.StartID != current.StartID {
		d.past = []report{{at: now, state: current}}
		shown = d.past[0]
	}
	state := shown.state
	return Load{
		StartID: state.StartID, Running: state.Running, Limit: state.Limit, Cold: state.Cold,
		AsOfMs: now.Sub(shown.at).Milliseconds(),
	}
}

// ServeLoad answers GET /v1/load.
func (d *Frontend) ServeLoad(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, d.Report())
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // the caller has gone: nobody is left to tell
	}
}
