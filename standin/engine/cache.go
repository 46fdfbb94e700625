package engine

import "container/list"

// kvCache is the prefix cache: one entry per session, evicted least recently used first.
// It is guarded by Engine.mu.
type kvCache struct {
	capacity int // tokens
	used     int // tokens
	entries  map[string]*list.Element
	order    *list.List // of *kvEntry, most recently used first
	pinned   map[string]int
	// freed holds pinned sessions that were deleted: what their requests leave behind is
	// not kept.
	freed map[string]bool
	note  func(op, session string, tokens int)
}

type kvEntry struct {
	session string
	links   []chainLink
}

func (x *kvEntry) tokens() int { return x.links[len(x.links)-1].Tokens }

func newCache(capacity int, note func(op, session string, tokens int)) *kvCache {
	return &kvCache{
		capacity: capacity,
		entries:  map[string]*list.Element{},
		order:    list.New(),
		pinned:   map[string]int{},
		freed:    map[string]bool{},
		note:     note,
	}
}

// lookup returns the number of prompt tokens that the session's cache covers.
func (c *kvCache) lookup(session string, links []chainLink) int {
	if el, ok := c.entries[session]; ok {
		c.order.MoveToFront(el)
	}
	held := c.links(session)
	for i := min(len(held), len(links)) - 1; i >= 0; i-- {
		if held[i].Sum == links[i].Sum {
			return links[i].Tokens
		}
	}
	return 0
}

// pin keeps a session from eviction while it has a running request.
func (c *kvCache) pin(session string) { c.pinned[session]++ }

// unpin ends a running request and stores what it leaves behind, if anything.
func (c *kvCache) unpin(session string, links []chainLink) {
	freed := c.freed[session]
	c.pinned[session]--
	if c.pinned[session] <= 0 {
		delete(c.pinned, session)
		delete(c.freed, session)
	}
	if links != nil && !freed {
		c.store(session, links)
	}
}

// store keeps the cache of a session and evicts others to make room.
func (c *kvCache) store(session string, links []chainLink) {
	if session == "" {
		return
	}
	c.drop(session)
	x := &kvEntry{session: session, links: links}
	c.entries[session] = c.order.PushFront(x)
	c.used += x.tokens()
	c.note("stored", session, x.tokens())
	for el := c.order.Back(); el != nil && c.used > c.capacity; {
		prev := el.Prev()
		old := el.Value.(*kvEntry)
		if c.pinned[old.session] == 0 {
			c.drop(old.session)
			c.note("evicted", old.session, old.tokens())
		}
		el = prev
	}
}

// free drops a session at a caller's wish. It returns false if nothing was held.
func (c *kvCache) free(session string) bool {
	_, held := c.entries[session]
	if c.pinned[session] > 0 {
		c.freed[session] = true
		held = true
	}
	c.drop(session)
	return held
}

func (c *kvCache) drop(session string) {
	el, ok := c.entries[session]
	if !ok {
		return
	}
	c.used -= el.Value.(*kvEntry).tokens()
	c.order.Remove(el)
	delete(c.entries, session)
}

// links returns what is held for a session; nil: nothing.
func (c *kvCache) links(session string) []chainLink {
	if el, ok := c.entries[session]; ok {
		return el.Value.(*kvEntry).links
	}
	return nil
}
