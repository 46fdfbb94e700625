package structs

import "time"

// AssignRequest asks a scheduler for a target. It waits in the scheduler's queue.
type AssignRequest struct {
	// ID identifies the request; a resend after a change of leader has the same one.
	ID    string `msgpack:"i"`
	Entry string `msgpack:"e"` // incarnation
	Zone  string `msgpack:"z"` // zone of the entry
	Pool  string `msgpack:"l"`
	Org   string `msgpack:"o"`
	// Weight is the organisation's weight.
	Weight  int    `msgpack:"w"`
	Program string `msgpack:"p,omitempty"`
	Service string `msgpack:"s"`
	Class   Class  `msgpack:"c,omitempty"`
	// Attained is the service the program has received, in generated tokens.
	Attained int64 `msgpack:"a,omitempty"`
	Turn     int   `msgpack:"n,omitempty"`
	// ProgramAge is the time since the program was opened.
	ProgramAge time.Duration `msgpack:"g,omitempty"`
	// Deadline is the time left of the service's deadline; 0: none.
	Deadline     time.Duration `msgpack:"d,omitempty"`
	PromptTokens int64         `msgpack:"t,omitempty"`
	MaxTokens    int64         `msgpack:"m,omitempty"`
	// Prefix holds hashes of the prompt's prefixes at each turn, longest last.
	Prefix []uint64 `msgpack:"f,omitempty"`
	// PrefixTokens holds the token counts of the same prefixes.
	PrefixTokens []int64 `msgpack:"h,omitempty"`
	// Exclude lists targets that have failed this request.
	Exclude []string `msgpack:"x,omitempty"`
	// Digest identifies the request's content, to find requests that crash targets.
	Digest string `msgpack:"u,omitempty"`
}

// Assignment gives a request a slot on a target.
type Assignment struct {
	Slot    string `msgpack:"s"`
	Target  string `msgpack:"t"`
	Address string `msgpack:"a"`
	// Term is the scheduler's; slots of an older term are re-reported.
	Term   uint64        `msgpack:"r"`
	Queued time.Duration `msgpack:"q"`
}

// Outcome tells how a slot's request ended.
type Outcome string

// Outcomes.
const (
	OutcomeOK        Outcome = "ok"
	OutcomeError     Outcome = "error"   // the target answered with an error
	OutcomeCrash     Outcome = "crash"   // the connection broke or the answer was cut
	OutcomeRefused   Outcome = "refused" // the target could not be reached or was busy
	OutcomeCancelled Outcome = "cancelled"
)

// ReleaseSlot gives a slot back.
type ReleaseSlot struct {
	// Digest is the request's, set with OutcomeCrash.
	Digest  string  `msgpack:"g,omitempty"`
	Pool    string  `msgpack:"l"`
	Entry   string  `msgpack:"e"`
	Slot    string  `msgpack:"s"`
	Target  string  `msgpack:"t"`
	Outcome Outcome `msgpack:"o"`
	// TTFT is the time from dispatch to the first token; 0 if there was none.
	TTFT     time.Duration `msgpack:"f"`
	Duration time.Duration `msgpack:"d"`
	Usage    Usage         `msgpack:"u"`
}

// SlotInfo describes a slot in use. A report to the scheduler that assigned the slot names
// it only; Target is empty then.
type SlotInfo struct {
	Slot         string `msgpack:"s"`
	Target       string `msgpack:"t,omitempty"`
	Org          string `msgpack:"o,omitempty"`
	Program      string `msgpack:"p,omitempty"`
	PromptTokens int64  `msgpack:"n,omitempty"`
}

// ReportSlots lists an entry's slots in use in one pool. An entry sends it to each
// scheduler twice a second; slots missing from it are freed.
type ReportSlots struct {
	Pool  string     `msgpack:"l"`
	Entry string     `msgpack:"e"`
	Slots []SlotInfo `msgpack:"s,omitempty"`
}

// ReportReply answers ReportSlots.
type ReportReply struct {
	// Term is the scheduler's; assignments of a lower term are void.
	Term uint64 `msgpack:"r"`
	// Unknown lists slots that were only named and that the scheduler does not know: it
	// has to be told what they are.
	Unknown []string `msgpack:"u,omitempty"`
}

// PoolQuery asks a scheduler about one pool.
type PoolQuery struct {
	Pool string `msgpack:"l"`
}

// RetryReply tells whether the pool's retry budget allows a retry now.
type RetryReply struct {
	Allowed bool `msgpack:"a"`
}
