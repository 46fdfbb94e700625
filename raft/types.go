package raft

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Peer identifies one incarnation of a member. A member whose data directory was lost or
// discarded gets a new incarnation, so that acknowledgements and votes based on the old
// directory no longer count. The zero Peer means that there is none.
type Peer struct {
	ID          string
	Incarnation uint64
}

// EntryKind is the type of a log entry.
type EntryKind uint8

// Kinds of entries. A new leader appends a no-op, with which the entries of earlier terms are
// committed as well.
const (
	EntryCommand EntryKind = iota + 1
	EntryNoop
	EntryConfig
)

// Entry is a log entry. Stamp is the leader's log time when it appended the entry.
type Entry struct {
	Index uint64
	Term  uint64
	Stamp time.Duration
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that must be durable before messages that depend on it are sent.
// Only Commit may be stored late: it is not needed for safety, but lets a restarted member
// apply its log sooner.
type HardState struct {
	Term   uint64
	Vote   Peer
	Commit uint64
}

// SnapshotMeta is the metadata of a snapshot of the state machine after the entry at Index.
// Stamp is the log time of that entry.
type SnapshotMeta struct {
	Index  uint64
	Term   uint64
	Stamp  time.Duration
	Config Config
}

// SnapshotChunk is a part of a snapshot that is being transferred. The sender's driver sets
// Data and Last. In replies, Offset is the number of bytes received.
type SnapshotChunk struct {
	Meta   SnapshotMeta
	Offset uint64 // bytes
	Data   []byte
	Last   bool
}

// MessageType selects the handler of a message.
type MessageType uint8

// Message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgSnapshotReply
	MsgTimeoutNow
	MsgVoteSynced // sent by a core to itself: the vote that it granted is durable
)

// Message is exchanged between the cores of a group.
type Message struct {
	Type MessageType
	From Peer
	To   Peer
	Term uint64
	// Index and LogTerm identify the entry before Entries (append) or the candidate's last
	// entry (vote and pre-vote requests). In replies, Index is the acknowledged index or that
	// of the rejected append (append reply), or the last log index (heartbeat reply). LogTerm
	// is also the term of the entry at Acked (heartbeat).
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Stamp is the leader's log time when it sent the message.
	Stamp time.Duration
	// Acked is the last index that the receiver has acknowledged according to the leader.
	Acked uint64
	// Seq is the number of the heartbeat round, and SentAt the sender's monotonic time. The
	// reply returns both unchanged.
	Seq    uint64
	SentAt time.Duration
	Reject bool
	// Hint is the last index at which the logs may agree, in the reply that rejects an append.
	// LogTerm is then the term of the follower's entry at Hint.
	Hint uint64
	// Transfer marks a vote request of a member to which the leader has transferred its
	// leadership. Such a request may be granted during the leader's lease.
	Transfer bool
	Snap     *SnapshotChunk
}

// ReadState is a confirmed read request. It may be served once Index has been applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Install is a completely received snapshot. It replaces the log up to Meta.Index and the state
// of the state machine.
type Install struct {
	Meta SnapshotMeta
	Data []byte
}

// Output is the work for the driver after a batch of inputs; see the package comment.
type Output struct {
	Hard    *HardState
	Entries []Entry
	Install *Install
	// Sync is set if the stored state must be synced: something other than the commit index
	// has changed.
	Sync      bool
	Send      []Message
	AfterSync []Message
	Committed []Entry
	Reads     []ReadState
	// Stale is set once a message from the leader has shown that this data directory has lost
	// acknowledged entries. The directory must be discarded.
	Stale bool
}

// Encode returns the msgpack encoding of v with structs as arrays, which is a third of the
// size of the encoding with field names.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return buf.Bytes(), nil
}

// Decode decodes data, which Encode returned, into v.
func Decode(data []byte, v any) error {
	return errors.Wrap(msgpack.Unmarshal(data, v), "decode")
}
