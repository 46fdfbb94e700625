package sched

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figlb/figlb/structs"
)

const (
	// maxItems bounds the programs remembered for a target of unknown memory size.
	maxItems = 1024
	// maxHashes bounds the prefixes remembered for a program. Earlier prefixes matter to
	// sub-agents that forked there; the first is the shared system prompt.
	maxHashes = 6
)

// CacheMap estimates which prompt prefixes the targets hold, from what was dispatched
// to them and from their cache events.
type CacheMap struct {
	programs map[uint64][]*item
	// prefixes counts the programs on each target that begin with a prefix. A system
	// prompt that all programs share has as many items as there are programs.
	prefixes map[uint64]map[*Target]int
	targets  map[*Target]*memory

	now time.Duration // time of the last call of the pool
	// evictedAge is the mean time from the last use of a program's cache to its eviction.
	evictedAge ewma
	evictedAt  time.Duration
}

const (
	// thrashAge is the age of evicted programs below which caches are thrashing: a tool
	// pause is shorter, so programs in progress lose their cache.
	thrashAge = 25 * time.Second
	// thrashMemory is the time after the last eviction that caches count as thrashing.
	thrashMemory = 5 * time.Second
)

// thrashing reports whether caches evict programs that are in progress.
func (c *CacheMap) thrashing(now time.Duration) bool {
	return c.evictedAge.n >= minSamples && now-c.evictedAt < thrashMemory &&
		c.evictedAge.value < thrashAge.Seconds()
}

// noteEviction measures an eviction for lack of memory.
func (c *CacheMap) noteEviction(it *item) {
	c.evictedAge.add((c.now - it.lastUsed).Seconds())
	c.evictedAt = c.now
}

// memory is a target's cache in order of last use.
type memory struct {
	lru      *list.List // of *item, most recent first
	items    map[uint64]*item
	used     int64 // tokens
	capacity int64 // tokens; 0: unknown
}

// item is the cache of one program on one target.
type item struct {
	target   *Target
	key      uint64
	tokens   int64
	prefixes []uint64
	place    *list.Element
	lastUsed time.Duration
}

func newCacheMap() *CacheMap {
	return &CacheMap{
		programs: map[uint64][]*item{},
		prefixes: map[uint64]map[*Target]int{},
		targets:  map[*Target]*memory{},
	}
}

// sessionKey returns the key of a request's program or, without one, of the request.
func sessionKey(r *Request) uint64 {
	if r.Program != "" {
		return xxhash.Sum64String(r.Program)
	}
	return xxhash.Sum64String(r.ID)
}

// Held calls fn for each target that is estimated to hold a part of r's prompt, with the
// number of tokens. fn may be called more than once for a target.
func (c *CacheMap) Held(r *Request, fn func(t *Target, tokens int64)) {
	if r.Program != "" {
		for _, it := range c.programs[sessionKey(r)] {
			fn(it.target, min(it.tokens, r.PromptTokens))
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

func (c *CacheMap) memory(t *Target) *memory {
	m := c.targets[t]
	if m == nil {
		m = &memory{lru: list.New(), items: map[uint64]*item{}}
		c.targets[t] = m
	}
	return m
}

// dispatched notes that t is about to hold r's prompt.
func (c *CacheMap) dispatched(t *Target, r *Request) {
	if r.PromptTokens == 0 {
		return
	}
	it := c.touch(t, sessionKey(r))
	c.grow(it, r.PromptTokens)
	c.setPrefixes(it, r)
	c.evict(t)
}

// adopted notes a slot of an earlier term.
func (c *CacheMap) adopted(t *Target, info structs.SlotInfo) {
	if info.Program == "" || info.PromptTokens == 0 {
		return
	}
	c.grow(c.touch(t, xxhash.Sum64String(info.Program)), info.PromptTokens)
	c.evict(t)
}

// answered notes that t holds prompt and answer of a finished request.
func (c *CacheMap) answered(t *Target, s *Slot, u structs.Usage) {
	if s.Program == "" || u.PromptTokens == 0 {
		return
	}
	c.grow(c.touch(t, xxhash.Sum64String(s.Program)), u.Total())
	c.evict(t)
}

// Stored applies a cache event: t holds tokens of a program.
func (c *CacheMap) Stored(t *Target, program string, tokens int64) {
	it := c.touch(t, xxhash.Sum64String(program))
	m := c.memory(t)
	m.used += tokens - it.tokens
	it.tokens = tokens
	c.evict(t)
}

// Evicted applies a cache event: t has dropped tokens of a program.
func (c *CacheMap) Evicted(t *Target, program string, tokens int64) {
	m := c.memory(t)
	it := m.items[xxhash.Sum64String(program)]
	if it == nil {
		return
	}
	if tokens <= 0 || tokens >= it.tokens {
		c.noteEviction(it)
		c.drop(it)
		return
	}
	it.tokens -= tokens
	m.used -= tokens
}

// touch returns the item of a program on t, as the most recently used one.
func (c *CacheMap) touch(t *Target, key uint64) *item {
	m := c.memory(t)
	it := m.items[key]
	if it == nil {
		it = &item{target: t, key: key, lastUsed: c.now}
		it.place = m.lru.PushFront(it)
		m.items[key] = it
		c.programs[key] = append(c.programs[key], it)
		return it
	}
	m.lru.MoveToFront(it.place)
	it.lastUsed = c.now
	return it
}

func (c *CacheMap) grow(it *item, tokens int64) {
	if tokens <= it.tokens {
		return
	}
	c.memory(it.target).used += tokens - it.tokens
	it.tokens = tokens
}

func (c *CacheMap) setPrefixes(it *item, r *Request) {
	c.unlink(it)
	n := min(len(r.Prefix), len(r.PrefixTokens))
	for i := range n {
		if i > 0 && i < n-(maxHashes-1) {
			continue
		}
		c.link(it, r.Prefix[i])
	}
}

func (c *CacheMap) link(it *item, hash uint64) {
	it.prefixes = append(it.prefixes, hash)
	holders := c.prefixes[hash]
	if holders == nil {
		holders = map[*Target]int{}
		c.prefixes[hash] = holders
	}
	holders[it.target]++
}

func (c *CacheMap) unlink(it *item) {
	for _, hash := range it.prefixes {
		holders := c.prefixes[hash]
		if holders[it.target]--; holders[it.target] == 0 {
			delete(holders, it.target)
		}
		if len(holders) == 0 {
			delete(c.prefixes, hash)
		}
	}
	it.prefixes = it.prefixes[:0]
}

func (c *CacheMap) removeProgram(it *item) {
	list := c.programs[it.key]
	for i, x := range list {
		if x != it {
			continue
		}
		list[i] = list[len(list)-1]
		list[len(list)-1] = nil
		list = list[:len(list)-1]
		break
	}
	if len(list) == 0 {
		delete(c.programs, it.key)
		return
	}
	c.programs[it.key] = list
}

func (c *CacheMap) drop(it *item) {
	m := c.memory(it.target)
	m.lru.Remove(it.place)
	m.used -= it.tokens
	delete(m.items, it.key)
	c.removeProgram(it)
	c.unlink(it)
}

// evict drops the least recently used programs until t's memory suffices.
func (c *CacheMap) evict(t *Target) {
	m := c.memory(t)
	for m.lru.Len() > 1 && m.full() {
		it := m.lru.Back().Value.(*item)
		c.noteEviction(it)
		c.drop(it)
	}
}

func (m *memory) full() bool {
	if m.capacity > 0 {
		return m.used > m.capacity
	}
	return m.lru.Len() > maxItems
}

// resize sets the size of t's memory; 0 leaves it as it is.
func (c *CacheMap) resize(t *Target, tokens int64) {
	if tokens <= 0 {
		return
	}
	c.memory(t).capacity = tokens
	c.evict(t)
}

// clear forgets what t held: it has restarted or is gone.
func (c *CacheMap) clear(t *Target) {
	m := c.targets[t]
	if m == nil {
		return
	}
	for m.lru.Len() > 0 {
		c.drop(m.lru.Back().Value.(*item))
	}
	if t.Out {
		delete(c.targets, t)
	}
}
