package controller

import (
	"strconv"
	"time"

	"github.com/figlb/figlb/fleet"
)

const (
	// historyLength is the number of changes of the list after which a host that missed them
	// gets the whole list: 16 s of a list that changes with each read.
	historyLength = 32
	// coldSlack is the difference between two readings of the same cold time.
	coldSlack = 50 * time.Millisecond
)

// listHistory names the last versions of the list by digests of their content. Two members
// that have read the same list name it alike, so a new leader does not send it again.
type listHistory struct {
	versions []listVersion // the newest last
}

// listVersion is one version of the list and the ids of the targets that it has added, changed
// or dropped.
type listVersion struct {
	digest  uint64
	touched []string
}

// newest returns the digest of the newest version; 0: there is none.
func (h *listHistory) newest() uint64 {
	if len(h.versions) == 0 {
		return 0
	}
	return h.versions[len(h.versions)-1].digest
}

// add appends a version unless it equals the newest, and reports whether it did. Both lists are
// in the order of their ids.
func (h *listHistory) add(old, next []fleet.Target, cold *coldSpells) bool {
	digest := cold.digest(next)
	if digest == h.newest() {
		return false
	}
	h.versions = append(h.versions, listVersion{digest: digest, touched: touched(old, next, cold)})
	if len(h.versions) > historyLength {
		h.versions = h.versions[1:]
	}
	return true
}

// since returns the ids that have been touched since a version, and whether it is known.
func (h *listHistory) since(digest uint64) (map[string]bool, bool) {
	out := map[string]bool{}
	for i := len(h.versions) - 1; i >= 0; i-- {
		if h.versions[i].digest == digest {
			return out, true
		}
		for _, id := range h.versions[i].touched {
			out[id] = true
		}
	}
	return nil, false
}

// touched returns the ids whose entries differ between two lists.
func touched(old, next []fleet.Target, cold *coldSpells) []string {
	before := make(map[string]fleet.Target, len(old))
	for _, t := range old {
		before[t.ID] = t
	}
	var out []string
	for _, t := range next {
		b, known := before[t.ID]
		delete(before, t.ID)
		b.ColdFor = t.ColdFor
		if !known || b != t || cold.began[t.ID] {
			out = append(out, t.ID)
		}
	}
	for id := range before {
		out = append(out, id)
	}
	return out
}

// coldSpells follows which targets are cold. The time that is left changes with each read;
// what counts as a change is that a target turns cold or warm, or stays cold for longer than
// was said before.
type coldSpells struct {
	spells map[string]coldSpell
	began  map[string]bool // targets whose cold state changed with the last update
}

type coldSpell struct {
	until time.Duration
	count uint64 // how often the end was put off
}

func (c *coldSpells) update(at time.Duration, targets []fleet.Target) {
	next := map[string]coldSpell{}
	c.began = map[string]bool{}
	for _, t := range targets {
		spell, wasCold := c.spells[t.ID]
		if t.ColdFor <= 0 {
			if wasCold {
				c.began[t.ID] = true
			}
			continue
		}
		if until := at + t.ColdFor; !wasCold || until > spell.until+coldSlack {
			spell = coldSpell{until: until, count: spell.count + 1}
			c.began[t.ID] = true
		}
		next[t.ID] = spell
	}
	c.spells = next
}

// digest returns a digest of what hosts know of targets in the order of their ids.
func (c *coldSpells) digest(targets []fleet.Target) uint64 {
	texts := make([]string, 0, len(targets))
	for _, t := range targets {
		text := t.ID + "\x01" + t.Service + "\x01" + t.Address + "\x01" + t.Zone + "\x01" + strconv.Itoa(t.Slots) +
			"\x01" + strconv.FormatInt(t.Born, 10) + "\x01" + strconv.FormatBool(t.Draining) + "\x01" + strconv.FormatUint(c.spells[t.ID].count, 10)
		texts = append(texts, text)
	}
	return fleet.DigestStrings(texts)
}
