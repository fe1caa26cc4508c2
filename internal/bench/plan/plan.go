// Package plan reads and checks experiments. An experiment consists of a deployment, a load
// and a schedule of faults. Its file is JSON; unknown fields are errors.
package plan

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/jujubescale/jujubescale/internal/conf/check"
	"github.com/jujubescale/jujubescale/internal/conf/decode"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// Experiment is one experiment file.
type Experiment struct {
	// Name is the name of the experiment in tables.
	Name string `json:"name"`
	// Manifest is the path of the manifest file, relative to the experiment's file.
	Manifest string `json:"manifest"`
	// BetweenZonesMs and ClientsMs are one-way delays in milliseconds, between availability
	// zones and between callers and entries.
	BetweenZonesMs float64 `json:"betweenZonesMs,omitempty"`
	ClientsMs      float64 `json:"clientsMs,omitempty"`
	// Entries is the number of entries, distributed evenly over the availability zones.
	Entries int `json:"entries,omitempty"`
	// Pools holds the size and speed of each pool.
	Pools []whole.Shape `json:"pools"`
	// Organisations are the callers with their shares of the requests.
	Organisations []Organisation `json:"organisations"`
	// Mix is the mix of requests.
	Mix []Request `json:"mix"`
	// Load is the offered load as a share of the deployment's capacity.
	Load float64 `json:"load,omitempty"`
	// RatePerSecond is the offered load in requests a second; it takes precedence over Load.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	// WarmupMs is the duration of the load before the measurement.
	WarmupMs int `json:"warmupMs,omitempty"`
	// DurationMs is the duration of the measurement.
	DurationMs int `json:"durationMs,omitempty"`
	// CooldownMs is the duration of the load after the measurement. Without it, the last
	// requests of an overload would be served with the capacity that missing later requests
	// leave free.
	CooldownMs int `json:"cooldownMs,omitempty"`
	// Seed is the seed of all random choices.
	Seed int64 `json:"seed,omitempty"`
	// Faults is the schedule of faults, ordered by time.
	Faults []Fault `json:"faults,omitempty"`

	// Deployment is the manifest, set by Read.
	Deployment *manif.Manifest `json:"-"`
}

// Organisation is a customer that sends requests.
type Organisation struct {
	Name  string  `json:"name"`
	Token string  `json:"token"`
	Share float64 `json:"share"`
}

// Request is one kind of request in the mix.
type Request struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
	// Method and Path belong to a call of a plain service. A "*" at the end of the path is
	// replaced by a unique mark for each request.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Prefixes is the number of different prompt prefixes of each organisation.
	Prefixes int `json:"prefixes,omitempty"`
	// Stream requests a streamed answer.
	Stream bool `json:"stream,omitempty"`
}

// Fault is a fault with its time, counted from the start of the measurement.
type Fault struct {
	AtMs int `json:"atMs"`
	whole.Fault
}

// Defaults of an experiment.
const (
	defaultEntries    = 3
	defaultLoad       = 0.7
	defaultWarmupMs   = 2000
	defaultDurationMs = 8000
	defaultSeed       = 1
)

// Read reads an experiment and its manifest, applies the defaults and checks both.
func Read(file string) (*Experiment, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	experiment, err := decode.Strict[Experiment](raw)
	if err != nil {
		return nil, err
	}
	manifest, err := os.ReadFile(filepath.Join(filepath.Dir(file), experiment.Manifest))
	if err != nil {
		return nil, err
	}
	if experiment.Deployment, err = check.Manifest(manifest); err != nil {
		return nil, err
	}
	if err := Fill(experiment); err != nil {
		return nil, err
	}
	return experiment, nil
}

func applyDefaults(e *Experiment) {
	if e.Entries == 0 {
		e.Entries = defaultEntries
	}
	if e.Load == 0 && e.RatePerSecond == 0 {
		e.Load = defaultLoad
	}
	if e.WarmupMs == 0 {
		e.WarmupMs = defaultWarmupMs
	}
	if e.DurationMs == 0 {
		e.DurationMs = defaultDurationMs
	}
	if e.Seed == 0 {
		e.Seed = defaultSeed
	}
}

// FindService returns the deployment's service with the given name, or nil.
func (e *Experiment) FindService(service string) *manif.Service {
	for i := range e.Deployment.Services {
		if e.Deployment.Services[i].Name == service {
			return &e.Deployment.Services[i]
		}
	}
	return nil
}

// findPipeline returns the pipeline of a service, or nil.
func (e *Experiment) findPipeline(s *manif.Service) *manif.Pipeline {
	for i := range e.Deployment.Pipelines {
		if e.Deployment.Pipelines[i].Name == s.Pipeline {
			return &e.Deployment.Pipelines[i]
		}
	}
	return nil
}

// DeadlineMs returns the deadline of a service in milliseconds.
func (e *Experiment) DeadlineMs(service string) int64 {
	s := e.FindService(service)
	if p := e.findPipeline(s); p != nil {
		return int64(p.DeadlineMs)
	}
	return int64(s.DeadlineMs)
}

// MayCall reports whether the manifest allows an organisation to call a service.
func (e *Experiment) MayCall(organisation, service string) bool {
	for i := range e.Deployment.Organisations {
		o := &e.Deployment.Organisations[i]
		if o.Name == organisation {
			return len(o.Services) == 0 || slices.Contains(o.Services, service)
		}
	}
	return false
}

// AtMostOnce reports whether a request of the mix must not run more than once.
func (e *Experiment) AtMostOnce(request *Request) bool {
	s := e.FindService(request.Service)
	for i := range s.Calls {
		if s.Calls[i].Method == request.Method && s.Calls[i].Path == request.Path {
			return s.Calls[i].NotIdempotent
		}
	}
	return false
}

// poolsOf returns the pools in which a request of a service runs, in order.
func (e *Experiment) poolsOf(service string) []string {
	s := e.FindService(service)
	p := e.findPipeline(s)
	if p == nil {
		return []string{s.Pool}
	}
	var pools []string
	for i := range p.Stages {
		pools = append(pools, p.Stages[i].Pool)
	}
	return pools
}
