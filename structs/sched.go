package structs

import "time"

// AssignRequest asks a scheduler for a slot on a target. It waits in the scheduler's queue
// until one is assigned.
type AssignRequest struct {
	// ID identifies the request. A resend after a change of leader carries the same ID.
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
	// AttainedTokens is the attained service of the program in generated tokens.
	AttainedTokens int64 `msgpack:"a,omitempty"`
	Turn           int   `msgpack:"n,omitempty"`
	// ProgramAge is the time since the program was opened.
	ProgramAge time.Duration `msgpack:"g,omitempty"`
	// Deadline is the time left until the service's deadline; 0 means none.
	Deadline     time.Duration `msgpack:"d,omitempty"`
	PromptTokens int64         `msgpack:"t,omitempty"`
	MaxTokens    int64         `msgpack:"m,omitempty"`
	// Prefix holds the hashes of the prompt's prefixes up to each turn, longest last.
	Prefix []uint64 `msgpack:"f,omitempty"`
	// PrefixTokens holds the token counts of the same prefixes.
	PrefixTokens []int64 `msgpack:"h,omitempty"`
	// Exclude lists targets on which this request has failed.
	Exclude []string `msgpack:"x,omitempty"`
	// Software restricts the request to targets of a software version; empty: any.
	Software string `msgpack:"b,omitempty"`
	// Digest identifies the request's content; it is used to detect requests that crash
	// targets.
	Digest string `msgpack:"u,omitempty"`
}

// Assignment gives a request a slot on a target.
type Assignment struct {
	Slot    string `msgpack:"s"`
	Target  string `msgpack:"t"`
	Address string `msgpack:"a"`
	// Software is the version of the target's software; empty if it is not declared.
	Software string `msgpack:"b,omitempty"`
	// Term is the scheduler's term. Entries report slots of an older term again.
	Term   uint64        `msgpack:"r"`
	Queued time.Duration `msgpack:"q"`
}

// Outcome is the way in which a slot's request ended.
type Outcome string

// Outcomes of a slot's request.
const (
	OutcomeOK        Outcome = "ok"
	OutcomeError     Outcome = "error"   // the target returned an error
	OutcomeCrash     Outcome = "crash"   // the connection failed or the response was truncated
	OutcomeRefused   Outcome = "refused" // the target was unreachable or busy
	OutcomeCancelled Outcome = "cancelled"
)

// ReleaseSlot returns a slot to its scheduler.
type ReleaseSlot struct {
	// Digest is the digest of the request. It is set only with OutcomeCrash.
	Digest  string  `msgpack:"g,omitempty"`
	Pool    string  `msgpack:"l"`
	Entry   string  `msgpack:"e"`
	Slot    string  `msgpack:"s"`
	Target  string  `msgpack:"t"`
	Outcome Outcome `msgpack:"o"`
	// TTFT is the time to first token, measured from dispatch; 0 if no token arrived.
	TTFT     time.Duration `msgpack:"f"`
	Duration time.Duration `msgpack:"d"`
	Usage    Usage         `msgpack:"u"`
}

// SlotInfo describes a slot in use. A report to the scheduler that assigned the slot carries
// only the slot's ID; the other fields are empty.
type SlotInfo struct {
	Slot         string `msgpack:"s"`
	Target       string `msgpack:"t,omitempty"`
	Org          string `msgpack:"o,omitempty"`
	Program      string `msgpack:"p,omitempty"`
	PromptTokens int64  `msgpack:"n,omitempty"`
}

// ReportSlots lists an entry's slots in use in one pool. An entry sends it to each
// scheduler twice a second. The scheduler frees slots that are missing from the report.
type ReportSlots struct {
	Pool  string     `msgpack:"l"`
	Entry string     `msgpack:"e"`
	Slots []SlotInfo `msgpack:"s,omitempty"`
}

// ReportReply answers ReportSlots.
type ReportReply struct {
	// Term is the scheduler's term. Assignments of a lower term are void.
	Term uint64 `msgpack:"r"`
	// Unknown lists slots that were reported by ID only and that the scheduler does not know.
	// The entry has to report them again with all fields.
	Unknown []string `msgpack:"u,omitempty"`
}

// PoolQuery queries a scheduler about one pool.
type PoolQuery struct {
	Pool string `msgpack:"l"`
}

// RetryReply reports whether the pool's retry budget allows a retry now.
type RetryReply struct {
	Allowed bool `msgpack:"a"`
}
