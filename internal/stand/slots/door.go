package slots

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Frontend is the HTTP front of an endpoint. It injects faults into the
// endpoint's connections and serves the load report, which may lag.
type Frontend struct {
	slots *Slots
	lag   time.Duration

	mu            sync.Mutex
	dead          bool
	hang          bool
	truncateShare float64
	random        *rand.Rand
	history       []report
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

// NewFrontend returns the front of an endpoint whose load report is lag old.
func NewFrontend(slots *Slots, lag time.Duration) *Frontend {
	return &Frontend{slots: slots, lag: lag, random: rand.New(rand.NewPCG(1, 1))}
}

// SetDead makes the endpoint close every connection without an answer, or
// ends that. An endpoint that becomes dead loses its work and restarts cold.
func (d *Frontend) SetDead(dead bool) {
	d.mu.Lock()
	d.dead = dead
	d.mu.Unlock()
	if dead {
		d.slots.Restart()
	}
}

// SetHang makes the endpoint accept calls and never answer them.
func (d *Frontend) SetHang(hang bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hang = hang
}

// SetTruncate makes the endpoint abort the connections of a share of its calls
// in the middle of the answer, drawn from a fixed seed. The work itself
// continues or is already done.
func (d *Frontend) SetTruncate(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truncateShare = share
}

// ShouldTruncate draws whether to truncate the answer of one call.
func (d *Frontend) ShouldTruncate() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.truncateShare > 0 && d.random.Float64() < d.truncateShare
}

// Guard wraps a handler with the faults of dead and hanging endpoints.
func (d *Frontend) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		dead, hang := d.dead, d.hang
		d.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		if hang {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Report returns the load report, which lags. After a restart it does not lag,
// because the new process has no older state.
func (d *Frontend) Report() Load {
	now := time.Now()
	current := d.slots.State()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = append(d.history, report{at: now, state: current})
	for len(d.history) > 1 && now.Sub(d.history[1].at) >= d.lag {
		d.history = d.history[1:]
	}
	reported := d.history[0]
	if reported.state.StartID != current.StartID {
		d.history = []report{{at: now, state: current}}
		reported = d.history[0]
	}
	state := reported.state
	return Load{
		StartID: state.StartID, Running: state.Running, Limit: state.Limit, Cold: state.Cold,
		AsOfMs: now.Sub(reported.at).Milliseconds(),
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
		return // the client disconnected
	}
}
