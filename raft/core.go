package raft

import (
	"fmt"
	"math/rand"
	"time"
)

// Time is a reading of the driver's monotonic clock. Its origin is arbitrary; only
// differences between readings are used.
type Time = time.Duration

// Role is the role of a core in its group.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Options configures a core.
type Options struct {
	Self Peer
	Rand *rand.Rand
	// Heartbeat is the interval between heartbeats of a leader.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the randomised election timeout: the time without a
	// message from a leader after which a voter stands for election. A member does not vote
	// within ElectionMin of the last message from a leader.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// LeaseMargin is subtracted from the leader's lease, because the members' clocks may run
	// at different rates.
	LeaseMargin time.Duration
	// MaxAppendBytes bounds the total size of the commands in one append message. A message
	// carries at least one entry, whatever its size.
	MaxAppendBytes int
	// Verified is false if the data directory may be stale. The core then neither votes nor
	// stands for election until SetVerified is called.
	Verified bool

	// Hard, Snapshot and Entries are the restored state. They are zero for an empty data
	// directory.
	Hard     HardState
	Snapshot SnapshotMeta
	Entries  []Entry // entries after Snapshot.Index
}

// Core runs the Raft algorithm for one member of one group. It is not safe for concurrent use.
type Core struct {
	opt Options
	now Time

	role      Role
	term      uint64
	vote      Peer
	leader    Peer
	log       entryLog
	snapshot  SnapshotMeta
	configs   []indexedConfig // configs[0] is the one that is active at the log's base
	commit    uint64
	emitted   uint64 // last index returned in Output.Committed
	verified  bool
	minLogEnd Position // minimum last log position of a candidate; see SetVerified
	stale     bool

	electionDeadline time.Duration
	lastContact      Time // time of the last message from a leader, or of the start
	votes            map[Peer]bool
	votePending      bool // this member has cast a vote that is not durable yet
	votedAt          Time
	voteExpiresAt    Time // when the election of the current vote is presumed over

	// Leader state.
	progress     map[Peer]*progress
	termStart    uint64 // index of the no-op entry of this term
	heartbeatDue Time
	electedAt    Time
	seq          uint64 // number of the latest heartbeat round
	reads        []pendingRead

	lastStamp   time.Duration // largest log time seen
	lastStampAt Time          // local time at which lastStamp was seen

	incoming      *incomingSnapshot
	out           Output
	lastHardState HardState // last one returned in Output.Hard, or the restored one
}

// New returns a core that starts from the restored state in opt.
func New(now Time, opt Options) *Core {
	c := &Core{
		opt:      opt,
		now:      now,
		term:     opt.Hard.Term,
		vote:     opt.Hard.Vote,
		snapshot: opt.Snapshot,
		verified: opt.Verified,
		// The member may have confirmed a leader's lease just before it restarted, so it
		// must not vote until that lease has expired.
		lastContact:   now,
		lastHardState: opt.Hard,
	}
	c.log.reset(opt.Snapshot.Index, opt.Snapshot.Term)
	c.configs = []indexedConfig{{index: opt.Snapshot.Index, config: opt.Snapshot.Config}}
	c.commit, c.emitted = opt.Snapshot.Index, opt.Snapshot.Index
	c.observeStamp(opt.Snapshot.Stamp)
	if len(opt.Entries) > 0 {
		c.log.replaceSuffix(opt.Entries)
		c.trackConfigs(opt.Entries)
		c.observeStamp(opt.Entries[len(opt.Entries)-1].Stamp)
	}
	c.commitTo(min(opt.Hard.Commit, c.log.last()))
	c.resetElectionTimer()
	if c.soleVoter() {
		c.electionDeadline = now
	}
	return c
}

// Bootstrap returns the initial state of a group whose only voter is p. It takes the form of
// a snapshot at index 1.
func Bootstrap(p Peer) SnapshotMeta {
	return SnapshotMeta{Index: 1, Term: 1, Config: Config{Members: []Member{{Peer: p, Voter: true}}}}
}

func (c *Core) advanceClock(now Time) { c.now = max(c.now, now) }

// Tick advances the clock and handles timeouts. It should be called several times per
// heartbeat interval.
func (c *Core) Tick(now Time) {
	c.advanceClock(now)
	if c.stale {
		return
	}
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now < c.electionDeadline || c.votePending {
		return
	}
	c.leader = Peer{}
	if c.mayCampaign() {
		c.startPreVote()
	}
}

// Step handles a message. Messages addressed to other members or incarnations are ignored.
func (c *Core) Step(now Time, m Message) {
	c.advanceClock(now)
	if m.To != c.opt.Self || c.stale {
		return
	}
	if m.Term > c.term && !c.acceptHigherTerm(m) {
		return
	}
	if m.Term < c.term {
		c.replyToLowerTerm(m)
		return
	}
	c.dispatch(m)
}

// acceptHigherTerm handles a message with a higher term than the core's. Most messages make
// the core a follower in that term; a pre-vote request, a granted pre-vote and a vote request
// during a leader's lease do not. It reports whether the message must still be dispatched.
func (c *Core) acceptHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		c.handlePreVote(m)
		return false
	case MsgPreVoteReply:
		if !m.Reject {
			c.handlePreVoteReply(m)
			return false
		}
	case MsgVote:
		if !m.Transfer && c.inLease() {
			return false
		}
	}
	c.becomeFollower(m.Term, Peer{})
	return true
}

// replyToLowerTerm tells a deposed leader or a member that asks for pre-votes about the
// higher term. Other messages of lower terms are dropped.
func (c *Core) replyToLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.sendAfterSync(Message{Type: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (c *Core) dispatch(m Message) {
	switch m.Type {
	case MsgPreVote:
		c.handlePreVote(m)
	case MsgPreVoteReply:
		c.handlePreVoteReply(m)
	case MsgVote:
		c.handleVote(m)
	case MsgVoteReply:
		c.handleVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.handleFromLeader(m)
	case MsgAppendReply:
		c.handleAppendReply(m)
	case MsgHeartbeatReply:
		c.handleHeartbeatReply(m)
	case MsgSnapshotReply:
		c.handleSnapshotReply(m)
	case MsgTimeoutNow:
		c.handleTimeoutNow(m)
	case MsgVoteSynced:
		c.handleVoteSynced()
	}
}

// TakeOutput returns the pending output, which the driver must process, and clears it.
func (c *Core) TakeOutput() Output {
	hs := HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	c.out.Sync = len(c.out.Entries) > 0 || c.out.Install != nil ||
		hs.Term != c.lastHardState.Term || hs.Vote != c.lastHardState.Vote
	if hs != c.lastHardState {
		c.lastHardState = hs
		c.out.Hard = &hs
	}
	c.out.Stale = c.stale
	out := c.out
	c.out = Output{}
	return out
}

// send queues a message that the driver may send at once.
func (c *Core) send(m Message) {
	c.out.Send = append(c.out.Send, c.withSenderAndTerm(m))
}

// sendAfterSync queues a message that depends on durable state. The driver sends it once the
// state of this output is synced.
func (c *Core) sendAfterSync(m Message) {
	c.out.AfterSync = append(c.out.AfterSync, c.withSenderAndTerm(m))
}

// withSenderAndTerm sets the sender, and the current term if the message has none.
func (c *Core) withSenderAndTerm(m Message) Message {
	m.From = c.opt.Self
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}

// becomeFollower makes the core a follower in the given term, which is either a new one or
// the current one. The vote is kept unless the term is new.
func (c *Core) becomeFollower(term uint64, leader Peer) {
	if term > c.term {
		c.term = term
		c.vote = Peer{}
		c.votePending = false
	}
	if c.role == Leader {
		c.resetElectionTimer()
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.reads = nil
}

// commitTo advances the commit index and adds the newly committed entries to the output.
func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	if index > c.log.last() {
		panic(fmt.Sprintf("raft: commit index %d is beyond the last log index %d", index, c.log.last()))
	}
	c.commit = index
	es := c.log.slice(c.emitted+1, index, maxInt)
	c.out.Committed = append(c.out.Committed, es...)
	c.emitted = index
}

const maxInt = int(^uint(0) >> 1)

// persist appends entries to the log and adds them to the output, where they replace entries
// of the same or higher indexes that the driver has not taken yet.
func (c *Core) persist(es []Entry) {
	c.log.replaceSuffix(es)
	c.trackConfigs(es)
	c.observeStamp(es[len(es)-1].Stamp)
	pending := c.out.Entries
	if len(pending) == 0 || es[0].Index <= pending[0].Index {
		c.out.Entries = append([]Entry(nil), es...)
		return
	}
	keep := es[0].Index - pending[0].Index
	c.out.Entries = append(pending[:keep:keep], es...)
}

// Status is a view of a core for drivers and operators.
type Status struct {
	Role   Role
	Term   uint64
	Leader Peer
	Commit uint64
	// CommitTerm is the term of the entry at Commit.
	CommitTerm    uint64
	LastIndex     uint64 // index of the last log entry
	TermStart     uint64 // leaders only: first index of the current term
	Config        Config
	ConfigPending bool // Config is not committed yet
	Verified      bool
	// Progress holds the replication progress of the members. It is nil unless the core is
	// the leader.
	Progress map[Peer]Progress
}

// Progress is a leader's view of a member: the highest index that the member has acknowledged
// as durable, and the time of the last message from it.
type Progress struct {
	Match      uint64
	LastActive Time
}

// Status returns the core's current state.
func (c *Core) Status() Status {
	s := Status{
		Role: c.role, Term: c.term, Leader: c.leader, Commit: c.commit, LastIndex: c.log.last(),
		TermStart: c.termStart, Config: c.config(), ConfigPending: c.latestConfig().index > c.commit,
		Verified: c.verified,
	}
	s.CommitTerm, _ = c.log.term(c.commit)
	if c.role != Leader {
		return s
	}
	s.Progress = make(map[Peer]Progress, len(c.progress))
	for p, pr := range c.progress {
		s.Progress[p] = Progress{Match: pr.match, LastActive: pr.lastActive}
	}
	return s
}

// BriefStatus returns only the role, the term, the leader, the commit index, the first index of the
// term and whether the core is verified. It is cheaper than Status.
func (c *Core) BriefStatus() Status {
	return Status{
		Role: c.role, Term: c.term, Leader: c.leader, Commit: c.commit, TermStart: c.termStart,
		Verified: c.verified,
	}
}
