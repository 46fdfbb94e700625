package raft

import "time"

const (
	// After a restart, a member delays its first pre-vote by a random time of up to
	// ElectionMin/firstPreVoteDivisor, so that the members do not all ask at the same time.
	firstPreVoteDivisor = 2
	// A member that did not win its pre-vote asks again after one to two times
	// ElectionMin/preVoteRetryDivisor, which is less than an election timeout: the others may
	// have refused only because their own contact with the old leader ended slightly later.
	// Pre-votes change no terms, so repeating them does not disturb the group.
	preVoteRetryDivisor = 3
)

func (c *Core) resetElectionTimer() {
	c.electionDeadline = c.now + c.opt.ElectionMin + c.randomDuration(c.opt.ElectionMax-c.opt.ElectionMin)
}

// randomDuration returns a random duration in [0, limit).
func (c *Core) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.opt.Rand.Int63n(int64(limit)))
}

// soleVoter reports whether this member is the only voter.
func (c *Core) soleVoter() bool {
	v := c.config().Voters()
	return len(v) == 1 && v[0] == c.opt.Self
}

// mayCampaign reports whether this member may stand for election. A member whose removal is
// in its log but not yet committed may do so as well: it may hold entries without which no
// other member can be elected.
func (c *Core) mayCampaign() bool {
	logEnd := Position{Term: c.log.lastTerm(), Index: c.log.last()}
	voter := c.config().IsVoter(c.opt.Self) || c.configFor(c.commit).IsVoter(c.opt.Self)
	return c.verified && voter && !logEnd.Before(c.minLogEnd)
}

// inLease reports whether a leader may still hold a lease that this member has confirmed, or,
// on the leader, whether its own lease may still be valid.
func (c *Core) inLease() bool {
	if c.role == Leader {
		return c.now-c.quorumContact() < c.opt.ElectionMin
	}
	return c.now-c.lastContact < c.opt.ElectionMin
}

// startPreVote asks the other voters whether an election could succeed. The term does not
// change, so that a member which was partitioned does not depose a working leader.
func (c *Core) startPreVote() {
	c.role = PreCandidate
	c.leader = Peer{}
	c.votes = map[Peer]bool{c.opt.Self: true}
	retryDelay := c.opt.ElectionMin / preVoteRetryDivisor
	c.electionDeadline = c.now + retryDelay + c.randomDuration(retryDelay)
	if c.hasVoteQuorum() {
		c.campaign(false)
		return
	}
	c.requestVotes(Message{Type: MsgPreVote, Term: c.term + 1}, c.send)
}

// campaign starts an election in a new term. The core's vote for itself counts once it is
// durable. Transfer marks an election that the previous leader has requested.
func (c *Core) campaign(transfer bool) {
	c.role = Candidate
	c.leader = Peer{}
	c.term++
	c.vote = c.opt.Self
	c.votes = map[Peer]bool{}
	c.awaitVoteSync()
	c.sendAfterSync(Message{Type: MsgVoteReply, To: c.opt.Self})
	c.requestVotes(Message{Type: MsgVote, Term: c.term, Transfer: transfer}, c.sendAfterSync)
}

// requestVotes sends a vote or pre-vote request to the other voters.
func (c *Core) requestVotes(m Message, send func(Message)) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, p := range c.config().Voters() {
		if p != c.opt.Self {
			m.To = p
			send(m)
		}
	}
}

// hasVoteQuorum reports whether a majority of the voters has granted its vote. Votes of
// members and incarnations that are not voters do not count.
func (c *Core) hasVoteQuorum() bool {
	n := 0
	for p := range c.votes {
		if c.config().IsVoter(p) {
			n++
		}
	}
	return n >= c.config().Quorum()
}

// candidateEligible reports whether this member is verified, so that it may vote at all, and
// the log of the candidate that sent m is complete enough.
func (c *Core) candidateEligible(m Message) bool {
	logEnd := Position{Term: m.LogTerm, Index: m.Index}
	return c.verified && c.log.upToDate(m.Index, m.LogTerm) && !logEnd.Before(c.minLogEnd)
}

func (c *Core) handlePreVote(m Message) {
	grant := m.Term > c.term && !c.inLease() && c.candidateEligible(m) && !c.votedElectionPending() && c.yieldsTo(m)
	reply := Message{Type: MsgPreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	c.send(reply)
}

// votedElectionPending reports whether an election in which this member has voted may still
// succeed. Granting a pre-vote for the next term would disrupt that election.
func (c *Core) votedElectionPending() bool {
	return c.votePending || (c.vote != Peer{} && c.lastContact < c.votedAt && c.now < c.voteExpiresAt)
}

// yieldsTo reports whether this member may grant the pre-vote request m despite a pre-vote of
// its own. If two members ask at the same time, only one may continue, since they would split
// the votes: the one with the more complete log or, if the logs end at the same position, the
// one with the larger ID. The other becomes a follower.
func (c *Core) yieldsTo(m Message) bool {
	if c.role != PreCandidate {
		return true
	}
	own := Position{Term: c.log.lastTerm(), Index: c.log.last()}
	other := Position{Term: m.LogTerm, Index: m.Index}
	if other.Before(own) || (other == own && m.From.ID < c.opt.Self.ID) {
		return false
	}
	c.role = Follower
	c.votes = nil
	return true
}

func (c *Core) handlePreVoteReply(m Message) {
	if c.role != PreCandidate || m.Reject || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteQuorum() {
		c.campaign(false)
	}
}

func (c *Core) handleVote(m Message) {
	mayVote := c.vote == Peer{} || c.vote == m.From
	if !m.Transfer && c.inLease() {
		mayVote = false
	}
	canFollow := c.role == Follower || c.role == PreCandidate
	grant := mayVote && canFollow && c.leader == Peer{} && c.candidateEligible(m)
	if grant {
		c.role = Follower
		c.votes = nil
		c.vote = m.From
		c.awaitVoteSync()
		c.sendAfterSync(Message{Type: MsgVoteSynced, To: c.opt.Self})
	}
	c.sendAfterSync(Message{Type: MsgVoteReply, To: m.From, Reject: !grant})
}

// awaitVoteSync suspends the election timer until this member's vote is durable. Otherwise no
// election would complete on a disk whose sync takes about as long as the election timeout.
func (c *Core) awaitVoteSync() {
	c.votePending = true
	c.votedAt = c.now
}

// handleVoteSynced restarts the election timer once this member's vote is durable. The timeout
// is extended by twice the time that the vote took to sync, because the other voters' disks
// may be as slow.
func (c *Core) handleVoteSynced() {
	c.votePending = false
	c.resetElectionTimer()
	syncAllowance := 2 * (c.now - c.votedAt)
	c.electionDeadline += syncAllowance
	c.voteExpiresAt = c.now + c.opt.ElectionMin + syncAllowance
}

func (c *Core) handleVoteReply(m Message) {
	if m.From == c.opt.Self {
		c.handleVoteSynced()
	}
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteQuorum() {
		c.becomeLeader()
	}
}

// Transfer hands leadership to a voter that holds the complete log. The core becomes a follower
// before the message is sent, which ends its lease. Transfer does nothing and returns false
// if the core is not the leader, if the given member is not another voter or lags behind, or if
// commands or read requests are in flight.
func (c *Core) Transfer(now Time, to Peer) bool {
	c.advanceClock(now)
	if c.role != Leader || to == c.opt.Self || !c.config().IsVoter(to) {
		return false
	}
	pr := c.progress[to]
	if pr.match != c.log.last() || c.commit != c.log.last() || len(c.reads) > 0 {
		return false
	}
	c.send(Message{Type: MsgTimeoutNow, To: to})
	c.becomeFollower(c.term, Peer{})
	return true
}

func (c *Core) handleTimeoutNow(m Message) {
	if c.role != Leader && c.mayCampaign() {
		c.campaign(true)
	}
}

// Position identifies a log entry by its term and index. Positions are ordered by term, then
// by index.
type Position struct {
	Term  uint64
	Index uint64
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool {
	return p.Term < q.Term || (p.Term == q.Term && p.Index < q.Index)
}

// SetVerified allows the core to vote and to stand for election, after the driver has compared
// its data directory with the records of other members. The driver passes the largest term and
// the last committed position that they reported. The directory may have been reverted to an
// older state, so two restrictions apply:
//
//   - The core grants no vote to another member in the higher of its own term and the reported
//     one, unless its directory records that vote: it may have voted in that term before.
//   - It does not help to elect any member, itself included, whose log ends before the
//     committed position: it may have acknowledged that entry before.
func (c *Core) SetVerified(now Time, reportedTerm uint64, committed Position) {
	c.advanceClock(now)
	if c.verified {
		return
	}
	c.verified = true
	c.minLogEnd = committed
	if reportedTerm > c.term {
		c.becomeFollower(reportedTerm, Peer{})
	}
	if c.vote == (Peer{}) {
		c.vote = c.opt.Self
	}
	// The other members, which may have restarted as well, grant no votes until ElectionMin
	// after their own start.
	c.electionDeadline = max(c.now, c.lastContact+c.opt.ElectionMin) + c.randomDuration(c.opt.ElectionMin/firstPreVoteDivisor)
	if c.soleVoter() {
		c.electionDeadline = c.now
	}
}
