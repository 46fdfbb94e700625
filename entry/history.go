package entry

import (
	"bytes"
	"container/list"
	"encoding/json"
	"sync"
)

// historyCacheBytes bounds the total size of the cached histories. The cache fills up only
// under load; an idle entry must use less than 64 MB of memory.
const historyCacheBytes = 128 << 20

// history contains the messages of the answered turns of a program. It is immutable.
type history struct {
	turnCount int // number of turns covered
	messages  [][]byte
	// turnEnds[i] is the number of messages up to the end of turn i+1. It is nil if the ends
	// of the turns are not known.
	turnEnds []int
	// chain is the hash chain over the messages.
	chain promptChain
}

// messagesThrough returns the messages of the first n turns. It returns false if the history
// does not cover them or does not know where turn n ends.
func (h *history) messagesThrough(n int) ([][]byte, bool) {
	switch {
	case n == 0:
		return nil, true
	case n == h.turnCount:
		return h.messages, true
	case n < h.turnCount && h.turnEnds != nil:
		return h.messages[:h.turnEnds[n-1]], true
	}
	return nil, false
}

// extend returns the history through turn n, given the messages of the additional turns.
func (h *history) extend(n int, more [][]byte) *history {
	out := &history{turnCount: n, chain: h.chain.addAll(more)}
	out.messages = append(out.messages, h.messages...)
	out.messages = append(out.messages, more...)
	if n == h.turnCount+1 && len(h.turnEnds) == h.turnCount {
		out.turnEnds = append(append(out.turnEnds, h.turnEnds...), len(out.messages))
	}
	return out
}

// historyOverhead is the estimated memory of a cached history in addition to its text, in
// bytes.
const historyOverhead = 1 << 10

func (h *history) bytes() int { return int(h.chain.bytes) + historyOverhead }

// historyCache is an LRU cache of the histories of recently active programs, so that the
// replies to begin commands need not contain them. The state remains authoritative: a begin
// command names the number of turns that are cached here, and the reply contains the
// remaining ones.
type historyCache struct {
	limit int // bytes

	mu    sync.Mutex
	size  int // bytes
	order *list.List
	items map[string]*list.Element
}

type cachedHistory struct {
	key  string
	hist *history
	size int
}

func newHistoryCache(limit int) *historyCache {
	return &historyCache{limit: limit, order: list.New(), items: map[string]*list.Element{}}
}

func historyKey(org, program string) string { return org + "/" + program }

// get returns the history of a program, or an empty one if it is not cached.
func (c *historyCache) get(key string) *history {
	c.mu.Lock()
	defer c.mu.Unlock()
	el, ok := c.items[key]
	if !ok {
		return &history{}
	}
	c.order.MoveToFront(el)
	return el.Value.(*cachedHistory).hist
}

// put stores a history unless the cached one covers more turns, and evicts the least
// recently used ones if the cache exceeds its limit.
func (c *historyCache) put(key string, h *history) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if el, ok := c.items[key]; ok {
		if el.Value.(*cachedHistory).hist.turnCount > h.turnCount {
			return
		}
		c.removeElement(el)
	}
	item := &cachedHistory{key: key, hist: h, size: h.bytes()}
	c.items[key] = c.order.PushFront(item)
	c.size += item.size
	for c.size > c.limit && c.order.Len() > 0 {
		c.removeElement(c.order.Back())
	}
}

// drop removes a program from the cache, for example when it has ended.
func (c *historyCache) drop(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if el, ok := c.items[key]; ok {
		c.removeElement(el)
	}
}

func (c *historyCache) removeElement(el *list.Element) {
	item := c.order.Remove(el).(*cachedHistory)
	delete(c.items, item.key)
	c.size -= item.size
}

// hasHistoryPrefix reports whether messages begin with the whole history and contain at
// least one more message. Messages are compared in canonical form, because client libraries
// reorder fields and add null fields.
func hasHistoryPrefix(messages, hist [][]byte) bool {
	if len(messages) <= len(hist) {
		return false
	}
	for i, h := range hist {
		if !bytes.Equal(canonical(h), canonical(messages[i])) {
			return false
		}
	}
	return true
}

// canonical returns a message with its fields sorted and null fields removed.
func canonical(message []byte) []byte {
	var v map[string]any
	dec := json.NewDecoder(bytes.NewReader(message))
	dec.UseNumber()
	if dec.Decode(&v) != nil {
		return message
	}
	for name, field := range v {
		if field == nil {
			delete(v, name)
		}
	}
	out, err := json.Marshal(v)
	if err != nil {
		return message
	}
	return out
}
