package balance

import "time"

const (
	// maxPlacements bounds each of the two generations of placements. The two together take less
	// than 1 MB. A gateway of a site with 370 gateways and 110,000 programs sees 300 of them.
	maxPlacements = 4096
	// maxPlacementAge is the time after which the target no longer counts as the one that holds a
	// program's history: the longest retention of turns is below it.
	maxPlacementAge = 2 * time.Minute
)

// placement is where the last request with an affinity key was sent.
type placement struct {
	target *Target
	at     time.Duration
}

// placements remembers where the programs and keys of this gateway were served last. It keeps two
// generations and drops the old one when the new one is full.
type placements struct {
	new, old map[uint64]placement
}

// get returns the target where the last request with a key was sent, which may have been removed
// since, or nil if it is not known.
func (p *placements) get(now time.Duration, key uint64) *Target {
	e, ok := p.new[key]
	if !ok {
		e, ok = p.old[key]
	}
	if !ok || now-e.at > maxPlacementAge {
		return nil
	}
	return e.target
}

// set records where a request was sent.
func (p *placements) set(now time.Duration, key uint64, t *Target) {
	if _, ok := p.new[key]; !ok && len(p.new) >= maxPlacements || p.new == nil {
		p.old, p.new = p.new, map[uint64]placement{}
	}
	p.new[key] = placement{target: t, at: now}
}
