package engine

import "time"

// ColdMode tells what a cold engine does with requests above its limit.
type ColdMode string

// Cold modes.
const (
	ColdRefuse ColdMode = "503"
	ColdSlow   ColdMode = "slow"
)

// Config sets the speed and the limits of an engine.
type Config struct {
	// MaxBatch is the most requests that run at the same time.
	MaxBatch int
	// StepBase and StepPerRequest make up the time of a step, in which each running
	// request gets one token.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// PrefillPerToken is the time to process an uncached prompt token. A step processes
	// at most PrefillChunk of them.
	PrefillPerToken time.Duration
	PrefillChunk    int
	// CacheTokens is the memory for KV cache, in tokens.
	CacheTokens int
	// ColdFor is the time after a start in which the engine carries only ColdSlots
	// requests; 0: it starts warm.
	ColdFor   time.Duration
	ColdSlots int
	ColdMode  ColdMode
	// ColdSlowdown multiplies the step time while a cold engine is above its limit.
	ColdSlowdown float64
	// LoadLag is the age of what GET /load reports.
	LoadLag time.Duration
	// EventLag delays cache events; EventLoss is the share of them that is lost.
	EventLag  time.Duration
	EventLoss float64
	// ChecksFencing makes POST /v1/orders refuse old fencing numbers.
	ChecksFencing bool
	// CrashMarker is the text in a request that crashes the engine once it runs it;
	// CrashDowntime is how long the engine is gone.
	CrashMarker   string
	CrashDowntime time.Duration
}

// DefaultConfig returns a fast warm engine.
func DefaultConfig() Config {
	return Config{
		MaxBatch:        32,
		StepBase:        4 * time.Millisecond,
		StepPerRequest:  200 * time.Microsecond,
		PrefillPerToken: 10 * time.Microsecond,
		PrefillChunk:    2048,
		CacheTokens:     400_000,
		ColdSlots:       2,
		ColdMode:        ColdSlow,
		ColdSlowdown:    20,
		LoadLag:         200 * time.Millisecond,
		EventLag:        100 * time.Millisecond,
		EventLoss:       0.02,
		CrashMarker:     "!crash-the-engine!",
		CrashDowntime:   time.Second,
	}
}
