//go:build !race

package rollout

// modelSeeds is the number of runs of each scenario.
const modelSeeds = 1000
