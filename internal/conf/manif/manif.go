// Package manif defines the manifest, which is the configuration that operators
// apply to a deployment. The users' build generates it as JSON. The published
// schema takes the description of each field from the comments here.
package manif

import "github.com/jujubescale/jujubescale/internal/base/clock"

// StageKind is the kind of work of a stage or pool. A stage and its pool have the
// same kind.
type StageKind string

// Kinds of stages and pools.
const (
	KindEncode   StageKind = "encode"
	KindRetrieve StageKind = "retrieve"
	KindRerank   StageKind = "rerank"
	KindGenerate StageKind = "generate"
	// KindPlain is the kind of a pool that serves plain services. No stage has it.
	KindPlain StageKind = "plain"
)

// Manifest is the whole configuration of one deployment.
type Manifest struct {
	// Pipelines that requests can run through.
	Pipelines []Pipeline `json:"pipelines" jsonschema:"maxItems=256"`
	// Services are the business services that callers can call.
	Services []Service `json:"services" jsonschema:"minItems=1,maxItems=512"`
	// Pools are groups of endpoints that do the same work.
	Pools []Pool `json:"pools" jsonschema:"minItems=1,maxItems=512"`
	// Organisations that may call services, with their share of the capacity.
	Organisations []Organisation `json:"organisations" jsonschema:"minItems=1,maxItems=10000"`
	// AvailabilityZones of this deployment.
	AvailabilityZones []string `json:"availabilityZones" jsonschema:"minItems=1,maxItems=64,uniqueItems=true"`
}

// Pipeline is a sequence of 3 to 6 stages with one deadline for all.
type Pipeline struct {
	// Name is unique among pipelines.
	Name string `json:"name" jsonschema:"pattern=^[a-z][a-z0-9-]{0\\,62}$"`
	// DeadlineMs is the default and the maximum time until a request's deadline, in milliseconds.
	DeadlineMs clock.Millis `json:"deadlineMs" jsonschema:"minimum=10,maximum=600000"`
	// Stages of the pipeline, in the order in which they run.
	Stages []Stage `json:"stages" jsonschema:"minItems=3,maxItems=6"`
}

// Stage is one step of a pipeline.
type Stage struct {
	// Name is unique within its pipeline.
	Name string `json:"name" jsonschema:"pattern=^[a-z][a-z0-9-]{0\\,62}$"`
	// Kind of work: encode, retrieve, rerank or generate.
	Kind StageKind `json:"kind" jsonschema:"enum=encode,enum=retrieve,enum=rerank,enum=generate"`
	// Pool is the name of the pool whose endpoints run the stage.
	Pool string `json:"pool"`
	// Model that a generate stage uses; the pool must list it.
	Model string `json:"model,omitempty"`
	// NotIdempotent means that the stage may run at most once for a request.
	NotIdempotent bool `json:"notIdempotent,omitempty"`
	// Cost is the estimated cost of one run, in the cost units of the pool; 1 if absent.
	Cost int64 `json:"cost,omitempty" jsonschema:"minimum=0,maximum=1000000000,default=1"`
}

// Service is a business service. Exactly one of Pipeline and Pool is set. Callers
// use only the name of the service, so a reviewed change of the manifest can replace
// its pipeline.
type Service struct {
	// Name that callers use; it is unique among services.
	Name string `json:"name" jsonschema:"pattern=^[a-z][a-z0-9-]{0\\,62}$"`
	// Pipeline that serves the requests of this service.
	Pipeline string `json:"pipeline,omitempty"`
	// Pool of kind plain that serves the calls of this service.
	Pool string `json:"pool,omitempty"`
	// DeadlineMs is the default and the maximum time until the deadline of a plain call, in milliseconds.
	DeadlineMs clock.Millis `json:"deadlineMs,omitempty" jsonschema:"minimum=0,maximum=600000,default=3000"`
	// Calls that the plain service allows; other calls are refused.
	Calls []PlainCall `json:"calls,omitempty" jsonschema:"maxItems=128"`
}

// PlainCall is one call of a plain service.
type PlainCall struct {
	// Method is the HTTP method.
	Method string `json:"method" jsonschema:"enum=GET,enum=HEAD,enum=PUT,enum=POST,enum=PATCH,enum=DELETE"`
	// Path of the call at the endpoint; a trailing "/*" allows any suffix.
	Path string `json:"path" jsonschema:"pattern=^/,maxLength=256"`
	// NotIdempotent means that the call may run at most once.
	NotIdempotent bool `json:"notIdempotent,omitempty"`
	// Cost is the estimated cost of one call, in the cost units of the pool; 1 if absent.
	Cost int64 `json:"cost,omitempty" jsonschema:"minimum=0,maximum=1000000000,default=1"`
}

// Fencing is the way in which an endpoint handles an order with an old fencing
// number.
type Fencing string

// Values of Fencing.
const (
	// FencingChecked endpoints reject orders with an old fencing number.
	FencingChecked Fencing = "checked"
	// FencingIgnored endpoints don't check fencing numbers.
	FencingIgnored Fencing = "ignored"
)

// Pool is a group of endpoints that do the same work.
type Pool struct {
	// Name is unique among pools.
	Name string `json:"name" jsonschema:"pattern=^[a-z][a-z0-9-]{0\\,62}$"`
	// Kind of work that the endpoints do.
	Kind StageKind `json:"kind" jsonschema:"enum=encode,enum=retrieve,enum=rerank,enum=generate,enum=plain"`
	// Models that the endpoints should load, in order of decreasing importance.
	Models []ModelVersion `json:"models,omitempty" jsonschema:"maxItems=64"`
	// Role of the engines, by the name that the engines use for it, such as prefill or decode; if absent, each engine keeps its role.
	Role string `json:"role,omitempty" jsonschema:"pattern=^[a-z][a-z0-9-]{0\\,62}$"`
	// Fencing tells whether the endpoints check the fencing numbers of orders.
	Fencing Fencing `json:"fencing,omitempty" jsonschema:"enum=checked,enum=ignored,default=ignored"`
	// Limit is the maximum amount of work that runs at the same time at a warm endpoint; a limit that the endpoint itself reports takes precedence.
	Limit int `json:"limit,omitempty" jsonschema:"minimum=0,maximum=100000"`
	// ColdLimit is the maximum amount of work that runs at the same time at an endpoint right after its start.
	ColdLimit int `json:"coldLimit,omitempty" jsonschema:"minimum=0,maximum=100000"`
	// LeftEndpoints are the names of endpoints that operators disabled.
	LeftEndpoints []string `json:"leftEndpoints,omitempty" jsonschema:"uniqueItems=true"`
}

// ModelVersion is a model with the version and the adapters to load.
type ModelVersion struct {
	// Model is the name of the model.
	Model string `json:"model" jsonschema:"pattern=^[A-Za-z0-9][A-Za-z0-9._/:-]{0\\,126}$"`
	// Version of the model's weights.
	Version string `json:"version" jsonschema:"pattern=^[A-Za-z0-9][A-Za-z0-9._/:-]{0\\,126}$"`
	// Adapters to load with the model.
	Adapters []string `json:"adapters,omitempty" jsonschema:"maxItems=64,uniqueItems=true"`
}

// Organisation is a customer with a share of the capacity.
type Organisation struct {
	// Name is unique among organisations.
	Name string `json:"name" jsonschema:"pattern=^[a-z][a-z0-9-]{0\\,62}$"`
	// Weight is the organisation's share of the capacity under contention, relative to the weights of the others; 1 if absent.
	Weight int `json:"weight,omitempty" jsonschema:"minimum=0,maximum=1000,default=1"`
	// Priority of the organisation's work: 0 is normal, and a higher priority runs first.
	Priority int `json:"priority,omitempty" jsonschema:"minimum=0,maximum=9"`
	// TokenHashes are the SHA-256 hashes of the organisation's bearer tokens, in hexadecimal.
	TokenHashes []string `json:"tokenHashes" jsonschema:"minItems=1,maxItems=16,uniqueItems=true"`
	// Services that the organisation may call; an empty list allows all.
	Services []string `json:"services,omitempty" jsonschema:"uniqueItems=true"`
	// MaxOpen is the maximum number of the organisation's open requests at one entry; 0 means the default of the entry.
	MaxOpen int `json:"maxOpen,omitempty" jsonschema:"minimum=0,maximum=1000000"`
}
