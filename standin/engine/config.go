package engine

import "time"

// ColdMode selects how a cold engine treats requests above its limit.
type ColdMode string

// ColdRefuse replies to such requests with status 503; ColdSlow accepts them and slows down
// all steps.
const (
	ColdRefuse ColdMode = "503"
	ColdSlow   ColdMode = "slow"
)

// Config sets the speed and the limits of an engine.
type Config struct {
	// MaxBatch is the maximum number of requests that run at the same time.
	MaxBatch int
	// StepBase and StepPerRequest (for each running request) determine the duration of a
	// step, in which each running request whose prompt is processed gets one token.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// PrefillPerToken is the time to process an uncached prompt token. A step processes
	// at most PrefillChunk of them.
	PrefillPerToken time.Duration
	PrefillChunk    int
	// CacheTokens is the capacity of the KV cache in tokens.
	CacheTokens int
	// ColdFor is the time after a start during which the engine is cold: its limit is
	// ColdSlots requests, running or waiting. With 0 it starts warm.
	ColdFor   time.Duration
	ColdSlots int
	ColdMode  ColdMode
	// ColdSlowdown multiplies the step time while a cold engine is above its limit.
	ColdSlowdown float64
	// LoadLag is the minimum age of the load that GET /load reports.
	LoadLag time.Duration
	// EventLag delays the publication of cache events. EventLoss is the share of them that
	// is never published.
	EventLag  time.Duration
	EventLoss float64
	// ChecksFencing makes POST /v1/orders refuse orders with an old fencing number.
	ChecksFencing bool
	// CrashMarker is a text that crashes the engine when a request that contains it starts
	// to run. CrashDowntime is the time until the engine restarts.
	CrashMarker   string
	CrashDowntime time.Duration
}

// DefaultConfig returns the configuration of a fast engine that starts warm.
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
