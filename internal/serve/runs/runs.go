// Package runs executes requests: the stages of a pipeline one after another, or one
// call of a plain service, at the endpoints that the peers report.
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

// Runs executes requests.
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

// stageKey identifies the stage whose durations are observed. Calls of plain
// services have the name of the service and the template of the path.
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

// WithBaseline sets the fixed baseline for measurements: round robin and retries that
// no budget limits, without hedges, early refusals and affinity.
func WithBaseline() Option {
	return func(r *Runs) {
		r.baseline = true
		r.picker = pick.New(pick.WithPolicy(pick.RoundRobin))
	}
}

// unlimitedTokens is a number of retries that is never reached.
const unlimitedTokens = 1 << 40

// New returns a Runs that sends requests to the endpoints of an entry's peers.
func New(p *peers.Peers, m *meter.Entry, opts ...Option) *Runs {
	r := &Runs{
		clock: clock.New(), peers: p, meter: m, picker: pick.New(),
		unlimited: quota.New(1, unlimitedTokens, unlimitedTokens), shed: shed.New(),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Request is one request to execute.
type Request struct {
	// Call holds the request ID, organisation, priority and idempotency key.
	Call wire.Call
	// Deadline is an instant of the clock of Runs.
	Deadline clock.Millis
	// Record receives the attempts; may be nil.
	Record *trace.Record
}

// engineCost is the engine time of one stage.
type engineCost struct {
	pool string
	time clock.Millis
}

// recordCosts counts engine time as useful or wasted, which is known only once the
// request has ended.
func (r *Runs) recordCosts(costs []engineCost, use string) {
	for _, cost := range costs {
		r.meter.EngineTime(cost.pool, use, cost.time)
	}
}

// stageTimes returns the observed durations of a stage.
func (r *Runs) stageTimes(pipeline, stage string) *budget.Stage {
	key := stageKey{pipeline: pipeline, stage: stage}
	if known, found := r.stages.Load(key); found {
		return known.(*budget.Stage)
	}
	known, _ := r.stages.LoadOrStore(key, budget.NewStage())
	return known.(*budget.Stage)
}

// stageBody is the body of a call to a stage of a pipeline.
type stageBody struct {
	Input    json.RawMessage `json:"input"`
	Previous json.RawMessage `json:"previous,omitempty"`
}

// stageOutput is the answer of each stage but generate.
type stageOutput struct {
	Output json.RawMessage `json:"output"`
}

// Pipeline runs the stages of a pipeline one after another. If sink is set, it
// receives the bytes of the last stage as they arrive. Pipeline returns the complete
// output.
func (r *Runs) Pipeline(ctx context.Context, request *Request, p *manif.Pipeline, input json.RawMessage, sink func([]byte)) (json.RawMessage, error) {
	key := shed.Key{Pipeline: p.Name, Organisation: request.Call.Organisation}
	if !r.baseline && !r.shed.Admit(r.clock.Now(), key, rand.Float64()) {
		refusal := fault.Refuse(fault.Overloaded, "later stages have refused such requests because of overload")
		refusal.RetryAfter = shedRetry
		return nil, refusal
	}
	observed := make([]*budget.Stage, len(p.Stages))
	for i := range p.Stages {
		observed[i] = r.stageTimes(p.Name, p.Stages[i].Name)
	}
	var previous json.RawMessage
	var costs []engineCost
	for i := range p.Stages {
		j, err := r.newJob(request, &p.Stages[i], i, stageBody{Input: input, Previous: previous})
		if err == nil {
			if i == len(p.Stages)-1 && sink != nil {
				j.stream, j.sink = true, sink
			}
			previous, err = r.pipelineStage(ctx, j, p, i, observed[i:], &costs)
		}
		if err != nil {
			r.recordCosts(costs, meter.UseWasted)
			if i > 0 {
				r.shed.Ended(r.clock.Now(), key, causedByLoad(err))
			}
			return nil, correctRan(i, err)
		}
	}
	r.shed.Ended(r.clock.Now(), key, false)
	r.recordCosts(costs, meter.UseUseful)
	return previous, nil
}

// shedRetry is the retry-after time of a request that is refused before its first
// stage.
const shedRetry = clock.Second

// causedByLoad reports whether a stage failed because of too much load.
func causedByLoad(err error) bool {
	var refusal *fault.RefusalError
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Reason {
	case fault.DeadlineUnreachable, fault.QueueFull, fault.Overloaded, fault.ColdStart, fault.DeadlinePassed, fault.NoEndpoint:
		return true
	default:
		return false
	}
}

// newJob returns the job for one stage of a request.
func (r *Runs) newJob(request *Request, s *manif.Stage, index int, body stageBody) (*job, error) {
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

// pipelineStage runs one stage, observes its duration and appends its engine time to
// costs.
func (r *Runs) pipelineStage(
	ctx context.Context, j *job, p *manif.Pipeline, index int, remaining []*budget.Stage, costs *[]engineCost,
) (json.RawMessage, error) {
	began := r.clock.Now()
	j.plan = budget.NewPlan(began, j.deadline-began, remaining)
	j.times = remaining[0].Times(began)
	outcome, err := r.run(ctx, j)
	r.meter.EngineTime(j.pool, meter.UseWasted, outcome.wasted)
	if err != nil {
		return nil, err
	}
	*costs = append(*costs, engineCost{pool: j.pool, time: outcome.end.EngineTime})
	now := r.clock.Now()
	remaining[0].Observe(now, now-began)
	r.meter.StageSeconds.WithLabelValues(p.Name, p.Stages[index].Name).Observe((now - began).Duration().Seconds())
	return decodeOutput(p.Stages[index].Kind, outcome.bytes)
}

// decodeOutput returns the output of a stage as JSON.
func decodeOutput(kind manif.StageKind, bytes []byte) (json.RawMessage, error) {
	if kind == manif.KindGenerate {
		return json.Marshal(string(bytes))
	}
	var decoded stageOutput
	if err := json.Unmarshal(bytes, &decoded); err != nil {
		return nil, &fault.RefusalError{Reason: fault.AnswerBroken, Ran: fault.DidRun, Detail: err.Error()}
	}
	return decoded.Output, nil
}

// correctRan changes a refusal from NotRun to DidRun if earlier stages of the
// request ran, so that the request as a whole isn't reported as not run.
func correctRan(stages int, err error) error {
	var refusal *fault.RefusalError
	if stages > 0 && errors.As(err, &refusal) && refusal.Ran == fault.NotRun {
		refusal.Ran = fault.DidRun
	}
	return err
}

// PlainAnswer is the complete answer of a plain service.
type PlainAnswer struct {
	Status      int
	ContentType string
	Digest      uint64
	Bytes       []byte
}

// Plain runs one call of a plain service. Its durations are observed by service and
// template.
func (r *Runs) Plain(ctx context.Context, request *Request, service, poolName, template string) (*PlainAnswer, error) {
	observed := r.stageTimes(service, template)
	began := r.clock.Now()
	j := &job{call: request.Call, pool: poolName, deadline: request.Deadline, record: request.Record}
	j.plan = budget.NewPlan(began, j.deadline-began, []*budget.Stage{observed})
	j.times = observed.Times(began)
	outcome, err := r.run(ctx, j)
	r.meter.EngineTime(poolName, meter.UseWasted, outcome.wasted)
	if err != nil {
		return nil, err
	}
	now := r.clock.Now()
	observed.Observe(now, now-began)
	r.meter.StageSeconds.WithLabelValues(service, template).Observe((now - began).Duration().Seconds())
	r.meter.EngineTime(poolName, meter.UseUseful, outcome.end.EngineTime)
	return &PlainAnswer{
		Status: outcome.end.Status, ContentType: outcome.end.ContentType, Digest: outcome.end.Digest, Bytes: outcome.bytes,
	}, nil
}
