package controller

import (
	"strconv"
	"time"

	"github.com/figlb/figlb/fleet"
)

const (
	// maxListVersions is the number of versions of the target list that are kept. A host that
	// missed more changes gets the whole list. 32 versions cover 16 s of a list that changes
	// with each read.
	maxListVersions = 32
	// coldTolerance is the difference up to which two reads report the same end of a cold
	// period.
	coldTolerance = 50 * time.Millisecond
)

// listHistory keeps the last versions of the target list, identified by digests of their
// content. Members that have read the same list compute the same digest, provided that they
// have counted the same revisions of its cold periods, so a new leader does not send the list
// again.
type listHistory struct {
	versions []listVersion // the newest last
}

// listVersion is the digest of one version of the list and the ids of the targets that this
// version added, changed or removed.
type listVersion struct {
	digest     uint64
	changedIDs []string
}

// newest returns the digest of the newest version, or 0 if there is none.
func (h *listHistory) newest() uint64 {
	if len(h.versions) == 0 {
		return 0
	}
	return h.versions[len(h.versions)-1].digest
}

// add appends a version unless it equals the newest one, and reports whether it did. Both lists
// are sorted by id.
func (h *listHistory) add(old, next []fleet.Target, cold *coldTracker) bool {
	digest := cold.digest(next)
	if digest == h.newest() {
		return false
	}
	h.versions = append(h.versions, listVersion{digest: digest, changedIDs: changedTargetIDs(old, next, cold)})
	if len(h.versions) > maxListVersions {
		h.versions = h.versions[1:]
	}
	return true
}

// changedSince returns the ids of the targets that were added, changed or removed after the
// version with the given digest, and whether that version is known.
func (h *listHistory) changedSince(digest uint64) (map[string]bool, bool) {
	out := map[string]bool{}
	for i := len(h.versions) - 1; i >= 0; i-- {
		if h.versions[i].digest == digest {
			return out, true
		}
		for _, id := range h.versions[i].changedIDs {
			out[id] = true
		}
	}
	return nil, false
}

// changedTargetIDs returns the ids of the targets whose entries differ between two lists. The
// remaining cold time is not compared; cold reports the targets whose cold state has changed.
func changedTargetIDs(old, next []fleet.Target, cold *coldTracker) []string {
	before := make(map[string]fleet.Target, len(old))
	for _, t := range old {
		before[t.ID] = t
	}
	var out []string
	for _, t := range next {
		b, known := before[t.ID]
		delete(before, t.ID)
		b.ColdFor = t.ColdFor
		if !known || b != t || cold.changed[t.ID] {
			out = append(out, t.ID)
		}
	}
	for id := range before {
		out = append(out, id)
	}
	return out
}

// coldTracker tracks which targets are cold. The remaining cold time differs with each read, so
// only these count as a change: a target becomes cold or warm, or its cold period ends later
// than reported before.
type coldTracker struct {
	periods map[string]coldPeriod
	changed map[string]bool // targets whose cold state changed in the last update
}

type coldPeriod struct {
	until    time.Duration
	revision uint64 // 1 at the start, incremented each time that the end is postponed
}

// update compares the targets of a new read with the tracked cold periods.
func (c *coldTracker) update(now time.Duration, targets []fleet.Target) {
	next := map[string]coldPeriod{}
	c.changed = map[string]bool{}
	for _, t := range targets {
		period, wasCold := c.periods[t.ID]
		if t.ColdFor <= 0 {
			if wasCold {
				c.changed[t.ID] = true
			}
			continue
		}
		if until := now + t.ColdFor; !wasCold || until > period.until+coldTolerance {
			period = coldPeriod{until: until, revision: period.revision + 1}
			c.changed[t.ID] = true
		}
		next[t.ID] = period
	}
	c.periods = next
}

// digest returns a digest of the fields that hosts know of the targets, which are sorted by id.
// The cold state is represented by the revision of the cold period.
func (c *coldTracker) digest(targets []fleet.Target) uint64 {
	texts := make([]string, 0, len(targets))
	for _, t := range targets {
		text := t.ID + "\x01" + t.Service + "\x01" + t.Address + "\x01" + t.Zone + "\x01" + t.Version + "\x01" + strconv.Itoa(t.Slots) +
			"\x01" + strconv.FormatInt(t.StartedAt, 10) + "\x01" + strconv.FormatBool(t.Draining) + "\x01" + strconv.FormatUint(c.periods[t.ID].revision, 10)
		texts = append(texts, text)
	}
	return fleet.DigestStrings(texts)
}
