//go:build race

package rollout

// modelSeeds is the number of runs of each scenario. The model has no concurrency, and the race detector
// makes it ten times slower.
const modelSeeds = 200
