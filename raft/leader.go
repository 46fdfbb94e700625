package raft

import (
	"slices"
	"time"
)

const (
	// maxInflight bounds the append messages to a member that are not acknowledged yet.
	maxInflight = 256
	// resendAfter is the time without progress after which a leader sends again from the last
	// acknowledged entry, or repeats its probe or the current snapshot chunk. It is meant to be
	// longer than a slow sync, so that entries that are still being synced are not sent again.
	resendAfter = 200 * time.Millisecond
)

type progressState uint8

const (
	probing progressState = iota // one append in flight until the logs are known to agree
	replicating
	sendingSnapshot
)

// progress is a leader's replication state for a member, itself included.
type progress struct {
	state          progressState
	match          uint64       // last index that the member has acknowledged as durable
	next           uint64       // index of the next entry to send
	paused         bool         // while probing: an append is in flight
	inflight       []uint64     // while replicating: last index of each append in flight
	lastActive     Time         // time of the last message from the member
	lastProgressAt Time         // time of the last new acknowledgement or resend
	ackSeq         uint64       // latest heartbeat round that the member has answered
	ackSentAt      Time         // send time of the latest heartbeat that the member has answered
	snap           SnapshotMeta // snapshot being sent
	snapOffset     uint64       // offset of the chunk being sent
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.opt.Self
	c.votes = nil
	c.progress = map[Peer]*progress{}
	c.electedAt = c.now
	c.heartbeatDue = c.now
	c.termStart = c.log.last() + 1
	c.syncProgress()
	c.appendAsLeader([]Entry{{Kind: EntryNoop}})
	c.broadcastHeartbeat()
}

// syncProgress updates the set of tracked members to the active configuration.
func (c *Core) syncProgress() {
	for p := range c.progress {
		if _, ok := c.config().Find(p); !ok {
			delete(c.progress, p)
		}
	}
	for _, m := range c.config().Members {
		if c.progress[m.Peer] == nil {
			c.progress[m.Peer] = &progress{next: c.log.last() + 1, lastActive: c.now, lastProgressAt: c.now}
		}
	}
}

// otherMembers returns the other members in configuration order, so that the core stays
// deterministic; the iteration order of the progress map is random.
func (c *Core) otherMembers() []Peer {
	var out []Peer
	for _, m := range c.config().Members {
		if m.Peer != c.opt.Self {
			out = append(out, m.Peer)
		}
	}
	return out
}

// tickLeader sends heartbeats, and ends the leadership if no majority has answered for the
// longest election timeout.
func (c *Core) tickLeader() {
	if c.now-c.quorumContact() > c.opt.ElectionMax {
		c.becomeFollower(c.term, Peer{})
		return
	}
	if c.now >= c.heartbeatDue {
		c.broadcastHeartbeat()
	}
}

// Propose appends commands to the log and returns the index of the first one and the term.
// It returns false if the core is not the leader or there are no commands.
func (c *Core) Propose(now Time, cmds [][]byte) (first, term uint64, ok bool) {
	c.advanceClock(now)
	if c.role != Leader || len(cmds) == 0 {
		return 0, 0, false
	}
	es := make([]Entry, len(cmds))
	for i, cmd := range cmds {
		es[i] = Entry{Kind: EntryCommand, Data: cmd}
	}
	c.appendAsLeader(es)
	return es[0].Index, c.term, true
}

// appendAsLeader assigns index, term and log time to the entries, appends them and replicates
// them. The core's acknowledgement to itself is sent once they are durable.
func (c *Core) appendAsLeader(es []Entry) {
	stamp := c.LogTime(c.now)
	for i := range es {
		es[i].Index = c.log.last() + 1 + uint64(i)
		es[i].Term = c.term
		es[i].Stamp = stamp
	}
	c.persist(es)
	c.syncProgress()
	c.sendAfterSync(Message{Type: MsgAppendReply, To: c.opt.Self, Index: c.log.last()})
	for _, p := range c.otherMembers() {
		c.replicate(p)
	}
}

// sendLimit returns the index of the last entry that may be sent to p. A learner receives only
// committed entries. With a longer log, it could refuse its vote to a candidate whose
// configuration already counts it as a voter, while it may not stand for election itself;
// the group could then elect no leader.
func (c *Core) sendLimit(p Peer) uint64 {
	if c.config().IsVoter(p) {
		return c.log.last()
	}
	return c.commit
}

// replicate sends p the entries that it lacks, as far as the limit of in-flight messages
// allows.
func (c *Core) replicate(p Peer) {
	pr := c.progress[p]
	limit := c.sendLimit(p)
	for pr.next <= limit && c.maySend(pr) {
		if !c.sendAppend(p, pr) {
			return
		}
	}
}

// maySend reports whether another append may be sent before the member acknowledges more.
func (c *Core) maySend(pr *progress) bool {
	switch pr.state {
	case probing:
		return !pr.paused
	case replicating:
		return len(pr.inflight) < maxInflight
	}
	return false
}

// sendAppend sends entries from pr.next on and returns true. If they have been compacted, it
// starts a snapshot transfer and returns false.
func (c *Core) sendAppend(p Peer, pr *progress) bool {
	prev := pr.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.startSnapshot(p, pr)
		return false
	}
	es := c.log.slice(pr.next, c.sendLimit(p), c.opt.MaxAppendBytes)
	c.send(Message{
		Type: MsgAppend, To: p, Index: prev, LogTerm: prevTerm, Entries: es,
		Commit: c.commit, Stamp: c.LogTime(c.now), Acked: pr.match,
	})
	if len(pr.inflight) == 0 {
		pr.lastProgressAt = c.now
	}
	if pr.state == probing {
		pr.paused = true
		return true
	}
	pr.next += uint64(len(es))
	pr.inflight = append(pr.inflight, pr.next-1)
	return true
}

func (c *Core) broadcastHeartbeat() {
	c.seq++
	c.heartbeatDue = c.now + c.opt.Heartbeat
	for _, p := range c.otherMembers() {
		pr := c.progress[p]
		ackedTerm, _ := c.log.term(pr.match)
		c.send(Message{
			Type: MsgHeartbeat, To: p, LogTerm: ackedTerm, Commit: min(pr.match, c.commit),
			Stamp: c.LogTime(c.now), Acked: pr.match, Seq: c.seq, SentAt: c.now,
		})
	}
	c.confirmReads()
}

func (c *Core) handleAppendReply(m Message) {
	pr := c.progress[m.From]
	if c.role != Leader || pr == nil {
		return
	}
	pr.lastActive = c.now
	if m.Reject {
		c.handleReject(m, pr)
		return
	}
	if pr.state == probing || (pr.state == sendingSnapshot && m.Index >= pr.snap.Index) {
		pr.state = replicating
		pr.inflight = nil
		pr.next = max(pr.match, m.Index) + 1
	}
	if m.Index > pr.match {
		pr.match = m.Index
		pr.lastProgressAt = c.now
		c.advanceCommit()
	}
	pr.next = max(pr.next, pr.match+1)
	done, _ := slices.BinarySearch(pr.inflight, pr.match+1)
	pr.inflight = pr.inflight[done:]
	if c.role == Leader && m.From != c.opt.Self {
		c.replicate(m.From)
	}
}

// handleReject handles a rejected append: it goes back to the last position at which the logs
// may agree and probes from there. A reply about an entry that has been acknowledged in the
// meantime is outdated and ignored.
func (c *Core) handleReject(m Message, pr *progress) {
	if m.Index <= pr.match || pr.state == sendingSnapshot || m.From == c.opt.Self {
		return
	}
	if pr.state == probing && m.Index != pr.next-1 {
		return
	}
	hint := c.log.conflictHint(min(m.Hint, m.Index-1), m.LogTerm)
	next := max(pr.match, hint) + 1
	c.probeFrom(m.From, pr, next)
}

// probeFrom sends one append from next on, and no further ones until it is answered.
func (c *Core) probeFrom(p Peer, pr *progress, next uint64) {
	pr.state = probing
	pr.paused = false
	pr.inflight = nil
	pr.next = next
	pr.lastProgressAt = c.now
	c.sendAppend(p, pr)
}

func (c *Core) handleHeartbeatReply(m Message) {
	pr := c.progress[m.From]
	if c.role != Leader || pr == nil {
		return
	}
	pr.lastActive = c.now
	pr.ackSeq = max(pr.ackSeq, m.Seq)
	pr.ackSentAt = max(pr.ackSentAt, m.SentAt)
	c.confirmReads()
	c.resendIfStalled(m.From, pr)
}

// resendIfStalled resends to a member without progress for resendAfter, since an append, a
// snapshot chunk or the reply to one may have been lost.
func (c *Core) resendIfStalled(p Peer, pr *progress) {
	if pr.match >= c.sendLimit(p) || c.now-pr.lastProgressAt < resendAfter {
		return
	}
	if pr.state == sendingSnapshot {
		pr.lastProgressAt = c.now
		c.sendChunk(p, pr)
		return
	}
	next := pr.next
	if pr.state == replicating {
		next = pr.match + 1
	}
	c.probeFrom(p, pr, next)
}

// advanceCommit commits the entries that a majority of the voters holds durably. Entries of
// earlier terms are committed only together with an entry of the current term (section 5.4.2
// of the Raft paper).
func (c *Core) advanceCommit() {
	voters := c.config().Voters()
	if len(voters) == 0 {
		return
	}
	matches := make([]uint64, len(voters))
	for i, p := range voters {
		matches[i] = c.progress[p].match
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.config().Quorum()]
	if index < c.termStart {
		return
	}
	if index <= c.commit {
		return
	}
	c.commitTo(index)
	c.replicateToLearners()
	if cfg := c.latestConfig(); cfg.index <= c.commit && !cfg.config.IsVoter(c.opt.Self) {
		c.stepDownAfterRemoval()
	}
}

// replicateToLearners sends newly committed entries to the learners; see sendLimit.
func (c *Core) replicateToLearners() {
	for _, m := range c.config().Members {
		if !m.Voter && m.Peer != c.opt.Self {
			c.replicate(m.Peer)
		}
	}
}

// stepDownAfterRemoval ends the leadership of a core whose own removal is committed, after a
// last heartbeat that carries the commit index to the others.
func (c *Core) stepDownAfterRemoval() {
	c.broadcastHeartbeat()
	c.becomeFollower(c.term, Peer{})
}

// quorumContact returns the latest time at which a majority of the voters, including this
// one, is known to have followed this leader. It is based on the send times of the heartbeats
// that they have answered, and is not before the time of the election.
func (c *Core) quorumContact() Time {
	voters := c.config().Voters()
	times := make([]Time, 0, len(voters))
	for _, p := range voters {
		switch {
		case p == c.opt.Self:
			times = append(times, c.now)
		default:
			times = append(times, c.progress[p].ackSentAt)
		}
	}
	slices.Sort(times)
	return max(c.electedAt, times[len(times)-c.config().Quorum()])
}

// LeaseUntil returns the time at which the leader's lease expires. Until then no other member
// can be elected, except after Transfer, which ends the lease. It returns zero if the core is
// not the leader or no majority has answered a heartbeat yet.
func (c *Core) LeaseUntil() Time {
	if c.role != Leader {
		return 0
	}
	t := c.quorumContact()
	if t == c.electedAt && !c.soleVoter() {
		return 0
	}
	return t + c.opt.ElectionMin - c.opt.LeaseMargin
}
