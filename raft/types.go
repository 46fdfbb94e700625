package raft

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Peer identifies one incarnation of a member. A data directory that was lost or discarded
// gets a new incarnation, so that acknowledgements and votes of the lost one do not count
// for it. The zero Peer means none.
type Peer struct {
	ID          string
	Incarnation uint64
}

// EntryKind tells what an entry carries.
type EntryKind uint8

// Kinds of entries. A new leader appends a no-op to commit the entries of earlier terms.
const (
	EntryCommand EntryKind = iota + 1
	EntryNoop
	EntryConfig
)

// Entry is one element of the log. Stamp is the leader's log time when it was appended.
type Entry struct {
	Index uint64
	Term  uint64
	Stamp time.Duration
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that must be durable before messages that depend on it leave.
// Commit may lag behind; it only shortens the time until a restarted member has applied
// its log.
type HardState struct {
	Term   uint64
	Vote   Peer
	Commit uint64
}

// SnapshotMeta describes a snapshot of the state machine after the entry at Index.
type SnapshotMeta struct {
	Index  uint64
	Term   uint64
	Stamp  time.Duration
	Config Config
}

// SnapshotChunk is a part of a snapshot in transit. The sending driver fills Data and Last.
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
	MsgVoteSynced // from a core to itself: the vote that it granted is durable
)

// Message is exchanged between the cores of a group.
type Message struct {
	Type MessageType
	From Peer
	To   Peer
	Term uint64
	// Index and LogTerm are the entry before Entries (append), the candidate's last entry
	// (votes), the acknowledged index (append reply) or the last index (heartbeat reply).
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	// Stamp is the leader's log time when it sent the message.
	Stamp time.Duration
	// Acked is the index that the leader has recorded as acknowledged by the receiver.
	Acked uint64
	// Seq numbers heartbeat rounds. Seq and SentAt (the sender's monotonic time) return
	// unchanged in the reply.
	Seq    uint64
	SentAt time.Duration
	Reject bool
	// Hint is the last index at which the logs may agree after a rejected append; LogTerm
	// is the term of the follower's entry there.
	Hint uint64
	// Transfer marks the election of a member to which the leader handed over; it is
	// exempt from the lease.
	Transfer bool
	Snap     *SnapshotChunk
}

// ReadState tells that a read request may be served once Index has been applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Install is a received snapshot: it replaces the log up to Meta.Index and the state machine.
type Install struct {
	Meta SnapshotMeta
	Data []byte
}

// Output is what the driver has to do after a batch of inputs; see the package comment.
type Output struct {
	Hard    *HardState
	Entries []Entry
	Install *Install
	// Sync is set where more than the commit index has changed in what is to be stored.
	Sync      bool
	Send      []Message
	AfterSync []Message
	Committed []Entry
	Reads     []ReadState
	// Stale is set once the leader proves that this data directory has lost
	// acknowledged entries. The directory must be discarded.
	Stale bool
}

// Encode returns the msgpack form of v with structs as arrays, which is a third of the
// size of the form with field names.
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

// Decode reads what Encode wrote.
func Decode(data []byte, v any) error {
	return errors.Wrap(msgpack.Unmarshal(data, v), "decode")
}
