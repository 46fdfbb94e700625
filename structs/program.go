package structs

import (
	"time"

	"github.com/figlb/figlb/errs"
)

// OrgCommand is a write that is replicated through the log of an organisation's group. Exactly
// one of its pointers is set.
type OrgCommand struct {
	// RequestID deduplicates the command: a resend returns the first reply.
	RequestID string `msgpack:"q"`
	Org       string `msgpack:"o"`
	// Resend reports that an earlier copy of the command may have been committed. Only the
	// state machine may then reject the command.
	Resend          bool             `msgpack:"s,omitempty"`
	OpenProgram     *OpenProgram     `msgpack:"a,omitempty"`
	EndProgram      *EndProgram      `msgpack:"b,omitempty"`
	BeginTurn       *BeginTurn       `msgpack:"c,omitempty"`
	FinishTurn      *FinishTurn      `msgpack:"d,omitempty"`
	BeginCall       *BeginCall       `msgpack:"e,omitempty"`
	FinishCall      *FinishCall      `msgpack:"f,omitempty"`
	ResolveCall     *ResolveCall     `msgpack:"g,omitempty"`
	Expire          *Expire          `msgpack:"h,omitempty"`
	ConfirmReleases *ConfirmReleases `msgpack:"i,omitempty"`
	Debit           *Debit           `msgpack:"j,omitempty"`
	Restore         *Restore         `msgpack:"k,omitempty"`
}

// Restore replaces the state of an empty group with a snapshot of the same group at another
// site.
type Restore struct {
	Snapshot []byte `msgpack:"s"`
}

// Limits are an organisation's limits as of a configuration revision. A state machine applies
// the limits of the highest revision it has received.
type Limits struct {
	Revision     uint64  `msgpack:"r"`
	Rate         float64 `msgpack:"t"` // requests per second
	Burst        int     `msgpack:"b"` // requests
	BudgetTokens int64   `msgpack:"k"`
	MaxTurns     int     `msgpack:"m"`
}

// ProgramState is the state of a program. Only an open program accepts turns.
type ProgramState string

// Program states.
const (
	ProgramOpen    ProgramState = "open"
	ProgramEnded   ProgramState = "ended"
	ProgramExpired ProgramState = "expired"
)

// Program is the record of a program without its turns.
type Program struct {
	ID     string `msgpack:"i" json:"id"`
	Org    string `msgpack:"o" json:"organisation"`
	Parent string `msgpack:"p,omitempty" json:"parent,omitempty"`
	// Root is the program that holds the budget of the whole tree.
	Root    string       `msgpack:"r" json:"root"`
	Service string       `msgpack:"s" json:"service"`
	State   ProgramState `msgpack:"t" json:"state"`
	// Budget, Spent and Reserved are in tokens. They are maintained on the root only.
	Budget   int64 `msgpack:"b" json:"budget_tokens"`
	Spent    int64 `msgpack:"e" json:"spent_tokens"`
	Reserved int64 `msgpack:"v" json:"reserved_tokens"`
	MaxTurns int   `msgpack:"m" json:"max_turns"`
	// LastTurn is the number of the last turn that was begun.
	LastTurn int `msgpack:"n" json:"turns"`
	// LastAnsweredTurn is the number of the last turn that was answered.
	LastAnsweredTurn int `msgpack:"a" json:"answered"`
	// AttainedTokens is the attained service: the tokens generated over all turns.
	AttainedTokens int64 `msgpack:"g" json:"attained_tokens"`
	// ContextTokens is the engine's token count of the whole history after the last turn.
	ContextTokens int64         `msgpack:"c" json:"context_tokens"`
	OpenedAt      time.Duration `msgpack:"d" json:"-"`
	LastActive    time.Duration `msgpack:"l" json:"-"`
	// Targets lists the targets that may hold KV cache for the program.
	Targets []string `msgpack:"x,omitempty" json:"targets,omitempty"`
}

// TurnState is the state of a turn.
type TurnState string

// Turn states. A failed turn may be begun again under the same number.
const (
	TurnRunning  TurnState = "running"
	TurnAnswered TurnState = "answered"
	TurnFailed   TurnState = "failed"
)

// Turn is one model call of a program.
type Turn struct {
	Number  int       `msgpack:"n" json:"turn"`
	State   TurnState `msgpack:"s" json:"state"`
	Attempt int       `msgpack:"a" json:"attempt"`
	// Digest is the hash of the caller's request for this turn.
	Digest string `msgpack:"d" json:"digest"`
	// Messages are the turn's new messages, Answer the assistant's message, as JSON.
	Messages [][]byte `msgpack:"m" json:"-"`
	Answer   []byte   `msgpack:"w,omitempty" json:"-"`
	// FinishReason is the reason given by the engine, for example "stop" or "tool_calls".
	FinishReason string      `msgpack:"f,omitempty" json:"finish_reason,omitempty"`
	Usage        Usage       `msgpack:"u" json:"usage"`
	Entry        string      `msgpack:"e" json:"-"` // incarnation of the entry that runs it
	Reserved     int64       `msgpack:"r" json:"-"` // tokens
	Failure      *errs.Error `msgpack:"x,omitempty" json:"failure,omitempty"`
}

// Usage holds the token counts of one call.
type Usage struct {
	PromptTokens     int64 `msgpack:"p" json:"prompt_tokens"`
	CompletionTokens int64 `msgpack:"c" json:"completion_tokens"`
	CachedTokens     int64 `msgpack:"h" json:"cached_tokens"`
}

// Total returns the tokens that count against a budget.
func (u Usage) Total() int64 { return u.PromptTokens + u.CompletionTokens }

// OpenProgram creates a program.
type OpenProgram struct {
	ID           string `msgpack:"i"`
	Parent       string `msgpack:"p,omitempty"`
	Service      string `msgpack:"s"`
	BudgetTokens int64  `msgpack:"b,omitempty"` // 0: the organisation's default
	MaxTurns     int    `msgpack:"m,omitempty"` // 0: the organisation's default
	Limits       Limits `msgpack:"l"`
}

// EndProgram ends a program and its sub-agents.
type EndProgram struct {
	ID string `msgpack:"i"`
}

// BeginTurn checks rate, order, turn cap and budget and records the intent to run a
// turn.
type BeginTurn struct {
	Program string `msgpack:"p"`
	// Implicit creates a program for a caller that did not name one. The program ends with
	// this turn.
	Implicit bool     `msgpack:"i,omitempty"`
	Service  string   `msgpack:"s"`
	Turn     int      `msgpack:"n"` // 0: the next one
	Digest   string   `msgpack:"d"`
	Messages [][]byte `msgpack:"m"`
	// MaxTokens is the caller's limit on generated tokens; the reply may lower it.
	MaxTokens int64  `msgpack:"k"`
	Entry     string `msgpack:"e"` // incarnation
	// LiveEntries lists the incarnations of live entries. A running turn of another entry is
	// taken over only if that entry is not in the list.
	LiveEntries []string `msgpack:"v,omitempty"`
	Limits      Limits   `msgpack:"l"`
	// KnownTurns is the number of turns whose history the entry already holds.
	KnownTurns int `msgpack:"h,omitempty"`
}

// BeginTurnReply answers BeginTurn.
type BeginTurnReply struct {
	Program Program `msgpack:"p"`
	// Turn is the turn that was begun, without its messages because the sender has them. If
	// Recorded is set, it is the recorded turn.
	Turn Turn `msgpack:"t"`
	// Recorded reports that the turn was already answered and is not run again.
	Recorded bool `msgpack:"r,omitempty"`
	// History holds the messages and answers of the turns after KnownTurns, in order.
	History [][]byte `msgpack:"h,omitempty"`
	// MaxTokens is the maximum number of tokens that the engine may generate within the budget.
	MaxTokens int64 `msgpack:"k"`
}

// FinishTurn records a turn's answer or its failure.
type FinishTurn struct {
	Program string `msgpack:"p"`
	Turn    int    `msgpack:"n"`
	Attempt int    `msgpack:"a"`
	Answer  []byte `msgpack:"w,omitempty"`
	// FinishReason is the reason given by the engine.
	FinishReason string `msgpack:"f,omitempty"`
	Usage        Usage  `msgpack:"u"`
	// UsageKnown reports whether Usage is valid. If not, the whole reservation counts as spent.
	UsageKnown bool        `msgpack:"k"`
	Targets    []string    `msgpack:"t,omitempty"`
	Failure    *errs.Error `msgpack:"x,omitempty"`
}

// TurnQuery reads a turn. Wait is the maximum time to wait for a running turn to finish.
type TurnQuery struct {
	Org     string        `msgpack:"o"`
	Program string        `msgpack:"p"`
	Turn    int           `msgpack:"n"`
	Wait    time.Duration `msgpack:"w,omitempty"`
}

// ProgramQuery reads a program.
type ProgramQuery struct {
	Org     string `msgpack:"o"`
	Program string `msgpack:"p"`
}

// CallState is the state of a call to a service that is not repeatable.
type CallState string

// Call states.
const (
	CallRunning  CallState = "running"
	CallFinished CallState = "finished"
	// CallUnknown means that the outcome is not known, for example because the entry died
	// when it might already have sent the call.
	CallUnknown CallState = "unknown"
	// CallNotRun means that the call is known not to have been run.
	CallNotRun CallState = "not_run"
)

// Call is the record of a call to a service that is not repeatable.
type Call struct {
	Key     string    `msgpack:"k" json:"key"`
	Service string    `msgpack:"s" json:"service"`
	Digest  string    `msgpack:"d" json:"digest"`
	State   CallState `msgpack:"t" json:"state"`
	Entry   string    `msgpack:"e" json:"-"`
	// Attempt counts how often the call was begun. It exceeds 1 if the call was begun again
	// after CallNotRun.
	Attempt int `msgpack:"n,omitempty" json:"attempt,omitempty"`
	// Target is the target that the call was assigned to, if known.
	Target  string            `msgpack:"g,omitempty" json:"target,omitempty"`
	Status  int               `msgpack:"c,omitempty" json:"status,omitempty"`
	Header  map[string]string `msgpack:"h,omitempty" json:"header,omitempty"`
	Body    []byte            `msgpack:"b,omitempty" json:"-"`
	BegunAt time.Duration     `msgpack:"a" json:"-"`
}

// BeginCall records the intent to make a call. If the call was begun before, its record is
// returned and the call is begun again only if it is in state CallNotRun.
type BeginCall struct {
	Key         string   `msgpack:"k"`
	Service     string   `msgpack:"s"`
	Digest      string   `msgpack:"d"`
	Entry       string   `msgpack:"e"`
	LiveEntries []string `msgpack:"v,omitempty"`
	Limits      Limits   `msgpack:"l"`
}

// BeginCallReply answers BeginCall.
type BeginCallReply struct {
	Call Call `msgpack:"c"`
	// Begun reports that the sender of this BeginCall, and no other, may dispatch the call.
	Begun bool `msgpack:"b"`
}

// FinishCall records a call's outcome. State is CallFinished, CallUnknown or CallNotRun.
type FinishCall struct {
	Key   string    `msgpack:"k"`
	Entry string    `msgpack:"e"`
	State CallState `msgpack:"t"`
	// Attempt is the Attempt of the call that was begun. A FinishCall for an older attempt is
	// rejected. Otherwise a late CallNotRun for the first attempt would allow a third attempt
	// while the second is running. 0 stands for the current attempt.
	Attempt int               `msgpack:"n,omitempty"`
	Target  string            `msgpack:"g,omitempty"`
	Status  int               `msgpack:"c,omitempty"`
	Header  map[string]string `msgpack:"h,omitempty"`
	Body    []byte            `msgpack:"b,omitempty"`
}

// ResolveCall settles a call in state CallUnknown after its outcome has been determined at the
// target.
type ResolveCall struct {
	Key    string    `msgpack:"k"`
	State  CallState `msgpack:"t"` // CallFinished or CallNotRun
	Status int       `msgpack:"c,omitempty"`
	Body   []byte    `msgpack:"b,omitempty"`
}

// CallQuery reads a call. Wait is the maximum time to wait for a running call to finish.
type CallQuery struct {
	Org  string        `msgpack:"o"`
	Key  string        `msgpack:"k"`
	Wait time.Duration `msgpack:"w,omitempty"`
}

// Debit takes one request from the organisation's token bucket for a call to a repeatable plain
// service.
type Debit struct {
	Limits Limits `msgpack:"l"`
}

// Expire ends programs that have been idle for longer than Idle and deletes records that ended
// longer ago than Keep.
type Expire struct {
	Idle time.Duration `msgpack:"i"`
	Keep time.Duration `msgpack:"k"`
	// LiveEntries lists the incarnations of live entries; it is empty if they are not known. A
	// call whose entry is dead changes to CallUnknown; a turn of an ended program is settled.
	LiveEntries []string `msgpack:"l,omitempty"`
}

// Release requests that a target free the KV cache of an ended program.
type Release struct {
	Program string `msgpack:"p"`
	Target  string `msgpack:"t"`
	// Seq changes when the release is queued again. A confirmation is valid only for the Seq
	// it was made for, because the engine may have filled the cache again in the meantime.
	Seq uint64 `msgpack:"s,omitempty"`
}

// ConfirmReleases records the releases that engines have confirmed.
type ConfirmReleases struct {
	Releases []Release `msgpack:"r"`
}

// OrgReply answers an OrgCommand. Err is set if the command was rejected.
type OrgReply struct {
	Err       *errs.Error     `msgpack:"x,omitempty"`
	Program   *Program        `msgpack:"p,omitempty"`
	BeginTurn *BeginTurnReply `msgpack:"b,omitempty"`
	BeginCall *BeginCallReply `msgpack:"c,omitempty"`
	Call      *Call           `msgpack:"l,omitempty"`
}
