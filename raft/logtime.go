package raft

import "time"

// observeStamp records a log time from the leader or the log. Older values, which arrive in
// duplicated and reordered messages, are ignored.
func (c *Core) observeStamp(s time.Duration) {
	if s > c.lastStamp {
		c.lastStamp = s
		c.lastStampAt = c.now
	}
}

// LogTime returns the group's log time: the largest stamp seen plus the local time elapsed
// since then. It never decreases on a leader, and a new leader continues from the stamps of
// the previous one.
func (c *Core) LogTime(now Time) time.Duration {
	return c.lastStamp + max(now, c.now) - c.lastStampAt
}
