package raft

import "time"

// observeStamp records a stamp of the leader. Older stamps arrive through duplicated and
// reordered messages and are ignored.
func (c *Core) observeStamp(s time.Duration) {
	if s > c.stamp {
		c.stamp = s
		c.stampAt = c.now
	}
}

// LogTime returns the group's log time: the last stamp seen plus the time since then. On a
// leader it never goes back, and a new leader continues from the stamps of the old one.
func (c *Core) LogTime(now Time) time.Duration {
	return c.stamp + max(now, c.now) - c.stampAt
}
