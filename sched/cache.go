package sched

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figlb/figlb/structs"
)

const (
	// maxProgramsPerTarget bounds the programs remembered for a target whose cache size is not
	// known.
	maxProgramsPerTarget = 1024
	// maxPrefixesPerProgram bounds the prefixes remembered for a program: the first one, which is
	// the shared system prompt, and the latest ones. Prefixes before the last matter to
	// sub-agents that were forked there.
	maxPrefixesPerProgram = 6
)

// CacheMap estimates which prompt prefixes the targets have in their caches, from the requests
// dispatched to them and from the cache events that they report.
type CacheMap struct {
	byProgram map[uint64][]*cachedProgram // by program key
	// prefixes holds, by prefix hash, the number of cached programs on each target that begin
	// with the prefix. It holds counts and not the programs, because a system prompt shared by
	// all programs would have as many of them as there are programs.
	prefixes map[uint64]map[*Target]int
	byTarget map[*Target]*targetCache

	now time.Duration // time of the pool's last call of Next or Release
	// evictionAge is the moving average, in seconds, of the time from the last use of a program's
	// cache to its eviction.
	evictionAge    ewma
	lastEvictionAt time.Duration
}

const (
	// thrashEvictionAge is the mean age of evicted programs below which caches are thrashing.
	// A program pauses for less than this while it runs tools, so a lower age means that programs
	// in progress lose their cache.
	thrashEvictionAge = 25 * time.Second
	// thrashHold is how long after the last eviction caches are still considered to be
	// thrashing.
	thrashHold = 5 * time.Second
)

// thrashing reports whether caches are evicting programs that are in progress.
func (c *CacheMap) thrashing(now time.Duration) bool {
	return c.evictionAge.samples >= minSamples && now-c.lastEvictionAt < thrashHold &&
		c.evictionAge.value < thrashEvictionAge.Seconds()
}

// recordEviction records the age of a program that is evicted for lack of memory.
func (c *CacheMap) recordEviction(cp *cachedProgram) {
	c.evictionAge.add((c.now - cp.lastUsed).Seconds())
	c.lastEvictionAt = c.now
}

// targetCache is the estimated cache of a target, with its programs in order of last use.
type targetCache struct {
	lru      *list.List // of *cachedProgram, most recently used first
	programs map[uint64]*cachedProgram
	used     int64 // tokens
	capacity int64 // tokens; 0 if unknown
}

// cachedProgram is the cache of one program on one target.
type cachedProgram struct {
	target   *Target
	key      uint64 // of the program
	tokens   int64
	prefixes []uint64      // hashes
	element  *list.Element // in targetCache.lru
	lastUsed time.Duration
}

func newCacheMap() *CacheMap {
	return &CacheMap{
		byProgram: map[uint64][]*cachedProgram{},
		prefixes:  map[uint64]map[*Target]int{},
		byTarget:  map[*Target]*targetCache{},
	}
}

// programKey returns the key of a request's program or, if it belongs to none, a key of the
// request itself.
func programKey(r *Request) uint64 {
	if r.Program != "" {
		return xxhash.Sum64String(r.Program)
	}
	return xxhash.Sum64String(r.ID)
}

// ForEachHolder calls fn for each target that is estimated to have a part of r's prompt in its
// cache, with the number of tokens. fn may be called more than once for a target.
func (c *CacheMap) ForEachHolder(r *Request, fn func(t *Target, tokens int64)) {
	if r.Program != "" {
		for _, cp := range c.byProgram[programKey(r)] {
			fn(cp.target, min(cp.tokens, r.PromptTokens))
		}
	}
	for i, h := range r.Prefix {
		if i >= len(r.PrefixTokens) {
			return
		}
		for t := range c.prefixes[h] {
			fn(t, min(r.PrefixTokens[i], r.PromptTokens))
		}
	}
}

// targetCache returns the cache of t, which it adds if necessary.
func (c *CacheMap) targetCache(t *Target) *targetCache {
	tc := c.byTarget[t]
	if tc == nil {
		tc = &targetCache{lru: list.New(), programs: map[uint64]*cachedProgram{}}
		c.byTarget[t] = tc
	}
	return tc
}

// onDispatch records that t will have r's prompt in its cache.
func (c *CacheMap) onDispatch(t *Target, r *Request) {
	if r.PromptTokens == 0 {
		return
	}
	cp := c.touch(t, programKey(r))
	c.growTo(cp, r.PromptTokens)
	c.setPrefixes(cp, r)
	c.evictToCapacity(t)
}

// onAdopt records that t has the prompt of a request in its cache that was assigned in an
// earlier term.
func (c *CacheMap) onAdopt(t *Target, info structs.SlotInfo) {
	if info.Program == "" || info.PromptTokens == 0 {
		return
	}
	c.growTo(c.touch(t, xxhash.Sum64String(info.Program)), info.PromptTokens)
	c.evictToCapacity(t)
}

// onCompletion records that t has the prompt and the response of a finished request in its
// cache.
func (c *CacheMap) onCompletion(t *Target, s *Slot, u structs.Usage) {
	if s.Program == "" || u.PromptTokens == 0 {
		return
	}
	c.growTo(c.touch(t, xxhash.Sum64String(s.Program)), u.Total())
	c.evictToCapacity(t)
}

// Stored applies a cache event: t now holds the given number of tokens of a program.
func (c *CacheMap) Stored(t *Target, program string, tokens int64) {
	cp := c.touch(t, xxhash.Sum64String(program))
	tc := c.targetCache(t)
	tc.used += tokens - cp.tokens
	cp.tokens = tokens
	c.evictToCapacity(t)
}

// Evicted applies a cache event: t has evicted the given number of tokens of a program, or all
// of them if the number is 0 or less.
func (c *CacheMap) Evicted(t *Target, program string, tokens int64) {
	tc := c.targetCache(t)
	cp := tc.programs[xxhash.Sum64String(program)]
	if cp == nil {
		return
	}
	if tokens <= 0 || tokens >= cp.tokens {
		c.recordEviction(cp)
		c.remove(cp)
		return
	}
	cp.tokens -= tokens
	tc.used -= tokens
}

// touch marks a program as the most recently used one on t and returns it; it adds the program
// if necessary.
func (c *CacheMap) touch(t *Target, key uint64) *cachedProgram {
	tc := c.targetCache(t)
	cp := tc.programs[key]
	if cp == nil {
		cp = &cachedProgram{target: t, key: key, lastUsed: c.now}
		cp.element = tc.lru.PushFront(cp)
		tc.programs[key] = cp
		c.byProgram[key] = append(c.byProgram[key], cp)
		return cp
	}
	tc.lru.MoveToFront(cp.element)
	cp.lastUsed = c.now
	return cp
}

// growTo raises the cached tokens of a program on a target to at least tokens.
func (c *CacheMap) growTo(cp *cachedProgram, tokens int64) {
	if tokens <= cp.tokens {
		return
	}
	c.targetCache(cp.target).used += tokens - cp.tokens
	cp.tokens = tokens
}

// setPrefixes replaces the prefixes of a program on a target with those of r: the first and
// the last ones, at most maxPrefixesPerProgram.
func (c *CacheMap) setPrefixes(cp *cachedProgram, r *Request) {
	c.clearPrefixes(cp)
	n := min(len(r.Prefix), len(r.PrefixTokens))
	for i := range n {
		if i > 0 && i < n-(maxPrefixesPerProgram-1) {
			continue
		}
		c.addPrefix(cp, r.Prefix[i])
	}
}

// addPrefix records that a program on a target begins with a prefix.
func (c *CacheMap) addPrefix(cp *cachedProgram, hash uint64) {
	cp.prefixes = append(cp.prefixes, hash)
	holders := c.prefixes[hash]
	if holders == nil {
		holders = map[*Target]int{}
		c.prefixes[hash] = holders
	}
	holders[cp.target]++
}

// clearPrefixes removes all prefixes of a program on a target.
func (c *CacheMap) clearPrefixes(cp *cachedProgram) {
	for _, hash := range cp.prefixes {
		holders := c.prefixes[hash]
		if holders[cp.target]--; holders[cp.target] == 0 {
			delete(holders, cp.target)
		}
		if len(holders) == 0 {
			delete(c.prefixes, hash)
		}
	}
	cp.prefixes = cp.prefixes[:0]
}

// removeFromProgram removes cp from the list of its program.
func (c *CacheMap) removeFromProgram(cp *cachedProgram) {
	holders := c.byProgram[cp.key]
	for i, x := range holders {
		if x != cp {
			continue
		}
		holders[i] = holders[len(holders)-1]
		holders[len(holders)-1] = nil
		holders = holders[:len(holders)-1]
		break
	}
	if len(holders) == 0 {
		delete(c.byProgram, cp.key)
		return
	}
	c.byProgram[cp.key] = holders
}

// remove removes a program's cache on a target from all indexes.
func (c *CacheMap) remove(cp *cachedProgram) {
	tc := c.targetCache(cp.target)
	tc.lru.Remove(cp.element)
	tc.used -= cp.tokens
	delete(tc.programs, cp.key)
	c.removeFromProgram(cp)
	c.clearPrefixes(cp)
}

// evictToCapacity removes the least recently used programs of t until the others fit in its
// cache. The most recently used program always stays.
func (c *CacheMap) evictToCapacity(t *Target) {
	tc := c.targetCache(t)
	for tc.lru.Len() > 1 && tc.overCapacity() {
		cp := tc.lru.Back().Value.(*cachedProgram)
		c.recordEviction(cp)
		c.remove(cp)
	}
}

// overCapacity reports whether the programs exceed the cache size or, if that is not known,
// maxProgramsPerTarget.
func (tc *targetCache) overCapacity() bool {
	if tc.capacity > 0 {
		return tc.used > tc.capacity
	}
	return tc.lru.Len() > maxProgramsPerTarget
}

// setCapacity sets the size of t's cache, in tokens; a size of 0 is ignored.
func (c *CacheMap) setCapacity(t *Target, tokens int64) {
	if tokens <= 0 {
		return
	}
	c.targetCache(t).capacity = tokens
	c.evictToCapacity(t)
}

// clear forgets the cache of a target that has restarted or has been removed.
func (c *CacheMap) clear(t *Target) {
	tc := c.byTarget[t]
	if tc == nil {
		return
	}
	for tc.lru.Len() > 0 {
		c.remove(tc.lru.Back().Value.(*cachedProgram))
	}
	if t.OutOfService {
		delete(c.byTarget, t)
	}
}
