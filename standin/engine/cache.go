package engine

import "container/list"

// kvCache is the prefix cache: one entry per session, evicted least recently used first.
// It is guarded by Engine.mu.
type kvCache struct {
	capacity int // tokens
	used     int // tokens
	entries  map[string]*list.Element
	recency  *list.List // of *kvEntry, most recently used first
	pinned   map[string]int
	// freedWhilePinned contains the sessions that were deleted while they were pinned: the
	// results of their running requests are not stored.
	freedWhilePinned map[string]bool
	onChange         func(op, session string, tokens int)
}

type kvEntry struct {
	session string
	links   []chainLink
}

func (x *kvEntry) tokens() int { return x.links[len(x.links)-1].Tokens }

func newCache(capacity int, onChange func(op, session string, tokens int)) *kvCache {
	return &kvCache{
		capacity:         capacity,
		entries:          map[string]*list.Element{},
		recency:          list.New(),
		pinned:           map[string]int{},
		freedWhilePinned: map[string]bool{},
		onChange:         onChange,
	}
}

// lookup returns the number of prompt tokens that the session's cache covers.
func (c *kvCache) lookup(session string, links []chainLink) int {
	if el, ok := c.entries[session]; ok {
		c.recency.MoveToFront(el)
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

// unpin ends a running request and stores its links, unless they are nil or the session was
// freed in the meantime.
func (c *kvCache) unpin(session string, links []chainLink) {
	freedWhilePinned := c.freedWhilePinned[session]
	c.pinned[session]--
	if c.pinned[session] <= 0 {
		delete(c.pinned, session)
		delete(c.freedWhilePinned, session)
	}
	if links != nil && !freedWhilePinned {
		c.store(session, links)
	}
}

// store replaces the links of a session and evicts the least recently used sessions that
// are not pinned until the capacity is kept.
func (c *kvCache) store(session string, links []chainLink) {
	if session == "" {
		return
	}
	c.remove(session)
	x := &kvEntry{session: session, links: links}
	c.entries[session] = c.recency.PushFront(x)
	c.used += x.tokens()
	c.onChange("stored", session, x.tokens())
	for el := c.recency.Back(); el != nil && c.used > c.capacity; {
		prev := el.Prev()
		old := el.Value.(*kvEntry)
		if c.pinned[old.session] == 0 {
			c.remove(old.session)
			c.onChange("evicted", old.session, old.tokens())
		}
		el = prev
	}
}

// freeSession removes a session on request. It returns false if nothing was stored and the
// session has no running request.
func (c *kvCache) freeSession(session string) bool {
	_, held := c.entries[session]
	if c.pinned[session] > 0 {
		c.freedWhilePinned[session] = true
		held = true
	}
	c.remove(session)
	return held
}

func (c *kvCache) remove(session string) {
	el, ok := c.entries[session]
	if !ok {
		return
	}
	c.used -= el.Value.(*kvEntry).tokens()
	c.recency.Remove(el)
	delete(c.entries, session)
}

// links returns the stored links of a session, or nil.
func (c *kvCache) links(session string) []chainLink {
	if el, ok := c.entries[session]; ok {
		return el.Value.(*kvEntry).links
	}
	return nil
}
