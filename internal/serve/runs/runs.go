// Package runs carries out requests: the stages of a pipeline one after
// another, or one call of a plain service, at the endpoints that peers know.
package runs

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/flow/budget"
	"github.com/jujubescale/jujubescale/internal/flow/quota"
	"github.com/jujubescale/jujubescale/internal/flow/shed"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/affin"
	"github.com/jujubescale/jujubescale/internal/route/pick"
	"github.com/jujubescale/jujubescale/internal/serve/meter"
	"github.com/jujubescale/jujubescale/internal/serve/peers"
	"github.com/jujubescale/jujubescale/internal/serve/trace"
)

// Runs carries out requests.
type Runs struct {
	clock     *clock.Clock
	peers     *peers.Peers
	meter     *meter.Entry
	picker    *pick.Picker
	baseline  bool
	unlimited *quota.Quota
	shed      *shed.Shedder
	stages    sync.Map // stageKey to *budget.Stage
}

// stageKey names what a duration was observed of.
type stageKey struct {
	pipeline string
	stage    string
}

// Option changes Runs while they are built.
type Option func(*Runs)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(r *Runs) { r.clock = c } }

// WithPolicy sets how endpoints are chosen.
func WithPolicy(policy pick.Policy) Option {
	return func(r *Runs) { r.picker = pick.New(pick.WithPolicy(policy)) }
}

// WithBaseline is the kept baseline of measurements: round robin with plain
// retries; no budgets, hedges, early refusals or affinity.
func WithBaseline() Option {
	return func(r *Runs) {
		r.baseline = true
		r.picker = pick.New(pick.WithPolicy(pick.RoundRobin))
	}
}

const plenty = 1 << 40

// New returns a runner over an entry's peers.
func New(p *peers.Peers, m *meter.Entry, opts ...Option) *Runs {
	r := &Runs{
		clock: clock.New(), peers: p, meter: m, picker: pick.New(),
		unlimited: quota.New(1, plenty, plenty), shed: shed.New(),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Request is one request on its way.
type Request struct {
	// Call has the identity, organisation, priority and key.
	Call wire.Call
	// Deadline by the runner's clock.
	Deadline clock.Millis
	// Record that notes the attempts; may be nil.
	Record *trace.Record
}

// spent is the engine time of one stage.
type spent struct {
	pool string
	span clock.Millis
}

// account counts engine time once it is known whether it was of use.
func (r *Runs) account(costs []spent, use string) {
	for _, cost := range costs {
		r.meter.EngineTime(cost.pool, use, cost.span)
	}
}

func (r *Runs) times(pipeline, stage string) *budget.Stage {
	key := stageKey{pipeline: pipeline, stage: stage}
	if known, found := r.stages.Load(key); found {
		return known.(*budget.Stage)
	}
	known, _ := r.stages.LoadOrStore(key, budget.NewStage())
	return known.(*budget.Stage)
}

// stageBody is what each stage of a pipeline gets.
type stageBody struct {
	Input    json.RawMessage `json:"input"`
	Previous json.RawMessage `json:"previous,omitempty"`
}

// stageOutput is what each stage but generate answers.
type stageOutput struct {
	Output json.RawMessage `json:"output"`
}

// Pipeline runs the stages one after another and gives the last one's bytes
// to sink as they come, if there is a sink. It returns the whole output.
func (r *Runs) Pipeline(ctx context.Context, request *Request, p *manif.Pipeline, input json.RawMessage, sink func([]byte)) (json.RawMessage, error) {
	key := shed.Key{Pipeline: p.Name, Organisation: request.Call.Organisation}
	if !r.baseline && !r.shed.Admit(r.clock.Now(), key, rand.Float64()) {
		refusal := fault.Refuse(fault.Overloaded, "later stages have been refusing such requests for load")
		refusal.RetryAfter = shedRetry
		return nil, refusal
	}
	observed := make([]*budget.Stage, len(p.Stages))
	for i := range p.Stages {
		observed[i] = r.times(p.Name, p.Stages[i].Name)
	}
	var previous json.RawMessage
	var costs []spent
	for i := range p.Stages {
		j, err := r.prepare(request, &p.Stages[i], i, stageBody{Input: input, Previous: previous})
		if err == nil {
			if i == len(p.Stages)-1 && sink != nil {
				j.stream, j.sink = true, sink
			}
			previous, err = r.pipelineStage(ctx, j, p, i, observed[i:], &costs)
		}
		if err != nil {
			r.account(costs, meter.UseWasted)
			if i > 0 {
				r.shed.Ended(r.clock.Now(), key, forLoad(err))
			}
			return nil, afterStages(i, err)
		}
	}
	r.shed.Ended(r.clock.Now(), key, false)
	r.account(costs, meter.UseUseful)
	return previous, nil
}

// shedRetry is when a request that was refused before its first stage may try
// again.
const shedRetry = clock.Second

// forLoad reports whether a stage failed because there was too much to do.
func forLoad(err error) bool {
	var refusal *fault.RefusalError
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Reason {
	case fault.WontMakeIt, fault.QueueFull, fault.Overloaded, fault.ColdStart, fault.DeadlinePassed, fault.NoEndpoint:
		return true
	default:
		return false
	}
}

func (r *Runs) prepare(request *Request, s *manif.Stage, index int, body stageBody) (*job, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Refuse(fault.BadRequest, err.Error())
	}
	j := &job{call: request.Call, pool: s.Pool, deadline: request.Deadline, record: request.Record}
	j.call.ID.Stage = index
	j.call.Body = encoded
	j.call.Model = s.Model
	j.call.Cost = max(s.Cost, 1)
	j.call.Idempotent = !s.NotIdempotent
	if s.Kind == manif.KindGenerate {
		j.affine, j.prefix = true, affin.NewKeys(s.Model, body.Input)
		j.call.Stream = true
	}
	return j, nil
}

func (r *Runs) pipelineStage(
	ctx context.Context, j *job, p *manif.Pipeline, index int, remaining []*budget.Stage, costs *[]spent,
) (json.RawMessage, error) {
	began := r.clock.Now()
	j.plan = budget.NewPlan(began, j.deadline-began, remaining)
	j.times = remaining[0].Times(began)
	got, err := r.run(ctx, j)
	r.meter.EngineTime(j.pool, meter.UseWasted, got.wasted)
	if err != nil {
		return nil, err
	}
	*costs = append(*costs, spent{pool: j.pool, span: got.end.EngineTime})
	now := r.clock.Now()
	remaining[0].Observe(now, now-began)
	r.meter.StageSeconds.WithLabelValues(p.Name, p.Stages[index].Name).Observe((now - began).Duration().Seconds())
	return output(p.Stages[index].Kind, got.bytes)
}

func output(kind manif.StageKind, bytes []byte) (json.RawMessage, error) {
	if kind == manif.KindGenerate {
		return json.Marshal(string(bytes))
	}
	var decoded stageOutput
	if err := json.Unmarshal(bytes, &decoded); err != nil {
		return nil, &fault.RefusalError{Reason: fault.AnswerBroken, Ran: fault.DidRun, Detail: err.Error()}
	}
	return decoded.Output, nil
}

// afterStages corrects what is said of a request whose earlier stages ran: it
// is not "not run", even if its last stage is.
func afterStages(stages int, err error) error {
	var refusal *fault.RefusalError
	if stages > 0 && errors.As(err, &refusal) && refusal.Ran == fault.NotRun {
		refusal.Ran = fault.DidRun
	}
	return err
}

// PlainAnswer is the whole answer of a plain service's call.
type PlainAnswer struct {
	Status      int
	ContentType string
	Digest      uint64
	Bytes       []byte
}

// Plain runs one call of a plain service, whose template names it for the
// observed times.
func (r *Runs) Plain(ctx context.Context, request *Request, service, poolName, template string) (*PlainAnswer, error) {
	observed := r.times(service, template)
	began := r.clock.Now()
	j := &job{call: request.Call, pool: poolName, deadline: request.Deadline, record: request.Record}
	j.plan = budget.NewPlan(began, j.deadline-began, []*budget.Stage{observed})
	j.times = observed.Times(began)
	got, err := r.run(ctx, j)
	r.meter.EngineTime(poolName, meter.UseWasted, got.wasted)
	if err != nil {
		return nil, err
	}
	now := r.clock.Now()
	observed.Observe(now, now-began)
	r.meter.StageSeconds.WithLabelValues(service, template).Observe((now - began).Duration().Seconds())
	r.meter.EngineTime(poolName, meter.UseUseful, got.end.EngineTime)
	return &PlainAnswer{
		Status: got.end.Status, ContentType: got.end.ContentType, Digest: got.end.Digest, Bytes: got.bytes,
	}, nil
}
