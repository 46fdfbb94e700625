package entry

import (
	"bytes"
	"container/list"
	"encoding/json"
	"sync"
)

// historyCacheBytes bounds the cached histories. An idle entry must stay under 64 MB;
// a full cache is only reached under load.
const historyCacheBytes = 128 << 20

// history is what a program's answered turns said. It is immutable.
type history struct {
	turns    int // number of turns it covers
	messages [][]byte
	// ends[i] is the number of messages after turn i+1; nil if unknown.
	ends []int
	// chain summarizes the messages.
	chain promptChain
}

// through returns the messages of the first n turns, or false if the history does not
// cover them or their end is unknown.
func (h *history) through(n int) ([][]byte, bool) {
	switch {
	case n == 0:
		return nil, true
	case n == h.turns:
		return h.messages, true
	case n < h.turns && h.ends != nil:
		return h.messages[:h.ends[n-1]], true
	}
	return nil, false
}

// extend returns the history after the turns up to n, whose messages are more.
func (h *history) extend(n int, more [][]byte) *history {
	out := &history{turns: n, chain: h.chain.addAll(more)}
	out.messages = append(out.messages, h.messages...)
	out.messages = append(out.messages, more...)
	if n == h.turns+1 && len(h.ends) == h.turns {
		out.ends = append(append(out.ends, h.ends...), len(out.messages))
	}
	return out
}

// historyOverhead is the memory of a cached history besides its text, in bytes.
const historyOverhead = 1 << 10

func (h *history) bytes() int { return int(h.chain.bytes) + historyOverhead }

// historyCache keeps the histories of recently active programs, so that begin replies
// need not carry them again. The state stays the owner: a turn begins with the number
// of turns known here and gets the rest.
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

// get returns a program's history, an empty one if it is not cached.
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

// put stores a history unless the cached one covers more turns.
func (c *historyCache) put(key string, h *history) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if el, ok := c.items[key]; ok {
		if el.Value.(*cachedHistory).hist.turns > h.turns {
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

// drop forgets a program, for example an ended one.
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

// startsWith reports whether messages begin with the whole history. Messages are
// compared by meaning: callers' libraries reorder fields and add null ones.
func startsWith(messages, hist [][]byte) bool {
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

// canonical returns a message with sorted fields and without null fields.
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
