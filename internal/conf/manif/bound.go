package manif

// Bounds of a manifest. They are well above the size that the system is designed
// for: 34 pipelines, 1,700 organisations and 19 availability zones.
const (
	MinStages         = 3
	MaxStages         = 6
	MaxZones          = 64
	MaxPools          = 512
	MaxPipelines      = 256
	MaxServices       = 512
	MaxCalls          = 128
	MaxOrganisations  = 10_000
	MaxModels         = 64
	MaxAdapters       = 64
	MaxTokens         = 16
	MaxPathBytes      = 256
	MaxCost           = 1_000_000_000
	MaxLimit          = 100_000
	MaxWeight         = 1_000
	MaxPriority       = 9
	MaxOpenRequests   = 1_000_000
	MinDeadlineMs     = 10
	MaxDeadlineMs     = 600_000
	DefaultDeadlineMs = 3_000
)

// StageKinds returns the allowed kinds of a stage.
func StageKinds() []StageKind {
	return []StageKind{KindEncode, KindRetrieve, KindRerank, KindGenerate}
}

// PoolKinds returns the allowed kinds of a pool.
func PoolKinds() []StageKind { return append(StageKinds(), KindPlain) }
