package ledgersm

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Command is one command of the replicated log. Exactly one field is set.
type Command struct {
	Reserve *Reserve      `msgpack:"r,omitempty"`
	Settle  *Settle       `msgpack:"s,omitempty"`
	Stream  *RecordStream `msgpack:"e,omitempty"`
	Events  *AppendEvents `msgpack:"v,omitempty"`
}

// Reserve reserves tokens of a program's budget for a turn. It is idempotent: resending it with the
// same attempt changes nothing while the reservation is open.
type Reserve struct {
	Org       string        `msgpack:"o"`
	Program   string        `msgpack:"p"`
	Attempt   string        `msgpack:"a"`
	Budget    int64         `msgpack:"b"` // of the program, in tokens; 0: no budget
	Tokens    int64         `msgpack:"t"` // the maximum that the turn may produce
	Previous  string        `msgpack:"v"` // the turn that this one continues; empty: none
	Retention time.Duration `msgpack:"k"`
	// Hold is the longest time until the turn is settled. Until then its program and the chain that it
	// continues are kept.
	Hold time.Duration `msgpack:"d,omitempty"`
	// WillKeep announces that the turn will be settled with Keep set.
	WillKeep bool `msgpack:"h,omitempty"`
	// Stream is set if the turn's stream can be resumed. The verdict UnknownStream means that the turn
	// resumes a stream whose source is not known; nothing is reserved then.
	Stream *StreamRecord `msgpack:"e,omitempty"`
	// AcceptsParts is set if the sender can read bodies of turns from store hosts.
	AcceptsParts bool `msgpack:"c,omitempty"`
	// Log is set if the turn will be kept and its stream can be resumed. The verdicts EventsUnknown and
	// EventsMissing mean that the ledger does not hold the events of the stream that the turn resumes;
	// nothing is reserved then.
	Log *LogRequest `msgpack:"g,omitempty"`
}

// BodyRef refers to the body of a turn, its input and output, on store hosts.
type BodyRef struct {
	Key      string `msgpack:"k"`
	Size     int64  `msgpack:"s"` // of input and output, in bytes
	Checksum uint64 `msgpack:"c"` // xxhash of the input followed by the output
}

// Settle ends a reservation and records the tokens that the turn has produced. With Keep set, the
// turn is stored and can be continued until its retention ends; the verdict UnknownTurn means that it
// is not stored, because the turn that it continues is not.
type Settle struct {
	Org       string        `msgpack:"o"`
	Program   string        `msgpack:"p"`
	Attempt   string        `msgpack:"a"`
	Tokens    int64         `msgpack:"t"`
	Keep      bool          `msgpack:"k"`
	Previous  string        `msgpack:"v"`
	Input     []byte        `msgpack:"i"`
	Output    []byte        `msgpack:"u"`
	Retention time.Duration `msgpack:"r"`
	// StreamEnded is set if the whole stream has been sent to the caller.
	StreamEnded bool `msgpack:"e,omitempty"`
	// Log is the attempt that began the stream, from LogReply; empty: the stream has no log.
	Log string `msgpack:"g,omitempty"`
	// LogEvents is the number of events that the attempt has brought to that log.
	LogEvents int `msgpack:"x,omitempty"`
	// Body refers to the turn's input and output on store hosts; Input and Output are empty then.
	Body *BodyRef `msgpack:"b,omitempty"`
}

// Verdict is the outcome of a command.
type Verdict uint8

// Verdicts.
const (
	OK              Verdict = iota + 1
	BudgetExhausted         // the reservation would exceed the program's budget
	UnknownTurn             // the turn to continue is not stored
	Malformed               // the command cannot be decoded
	UnknownStream           // the source of the stream to resume is not known
	EventsUnknown           // the events of the stream to resume are not known
	EventsMissing           // the same, but they may follow
)

// Reply is the reply to a command.
type Reply struct {
	Verdict Verdict `msgpack:"v"`
	// Spent and Reserved are the program's tokens; for a Reserve command those before it, on which
	// the verdict is based.
	Spent    int64 `msgpack:"s"`
	Reserved int64 `msgpack:"r"`
	// Source is the source of the stream that the attempt begins or resumes.
	Source StreamSource `msgpack:"e"`
	// Log is the log of the turn's stream.
	Log *LogReply `msgpack:"g,omitempty"`
	// Held answers an AppendEvents command: for each batch the number of events of its attempt that the log
	// holds, or LogClosed.
	Held []int `msgpack:"h,omitempty"`
}

// program is the budget of a program and its use.
type program struct {
	Budget       int64            `msgpack:"b"`
	Spent        int64            `msgpack:"s"`
	Reservations map[string]int64 `msgpack:"o"` // reserved tokens by attempt
	// Source is the source of the program's streams. SourcesDiffer is set if they had several, or one that
	// is not known.
	Source        StreamSource `msgpack:"e"`
	SourcesDiffer bool         `msgpack:"d,omitempty"`
	// ExpiresAt is the time of the replicated log after which the program is removed.
	ExpiresAt time.Duration `msgpack:"u"`
}

func (p *program) reserved() int64 {
	n := int64(0)
	for _, t := range p.Reservations {
		n += t
	}
	return n
}

// Part is one turn of a history: its input and output, or a reference to them on store hosts.
type Part struct {
	Inline []byte
	Ref    *BodyRef
}

// turn is a stored turn that can be continued. Its input and output, or the reference to them, are in
// the encoded command that settled it, which a block holds. The replicated log shares the same bytes, so
// that they are in memory once.
type turn struct {
	Previous  string        `msgpack:"v"`
	ExpiresAt time.Duration `msgpack:"t"`
	Block     uint64        `msgpack:"b"`
	Offset    int           `msgpack:"o"` // in the block, in bytes
	Size      int           `msgpack:"s"` // in bytes
	command   []byte
}

// settled returns the command that settled the turn.
func (t *turn) settled() (*Settle, error) {
	var c Command
	if err := msgpack.Unmarshal(t.command, &c); err != nil {
		return nil, errors.Wrap(err, "decode a turn")
	}
	if c.Settle == nil {
		return nil, errors.New("a turn without its end")
	}
	return c.Settle, nil
}
