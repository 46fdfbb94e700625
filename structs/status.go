package structs

// MemberStatus describes one state member.
type MemberStatus struct {
	ID          string        `msgpack:"i" json:"id"`
	Address     string        `msgpack:"a" json:"address"`
	Zone        string        `msgpack:"z" json:"zone"`
	Incarnation string        `msgpack:"n" json:"incarnation"`
	Groups      []GroupStatus `msgpack:"g" json:"groups"`
}

// GroupStatus describes the state of a replicated group at one member.
type GroupStatus struct {
	Group    uint32   `msgpack:"g" json:"group"`
	Term     uint64   `msgpack:"t" json:"term"`
	Leader   string   `msgpack:"l" json:"leader"`
	Applied  uint64   `msgpack:"a" json:"applied"`
	Voters   []string `msgpack:"v" json:"voters"`
	Learners []string `msgpack:"e" json:"learners"`
	// Incarnations maps each voter and learner to its incarnation in the group's membership.
	// A voter that runs under another incarnation has not been repaired yet and must not be
	// counted as a working voter.
	Incarnations map[string]string `msgpack:"n" json:"incarnations"`
}

// TargetStatus describes the state of a target at its scheduler.
type TargetStatus struct {
	Name     string `msgpack:"n" json:"name"`
	Pool     string `msgpack:"p" json:"pool"`
	Zone     string `msgpack:"z" json:"zone"`
	State    string `msgpack:"s" json:"state"` // "warm", "cold", "down", "drained"
	InUse    int    `msgpack:"u" json:"in_use"`
	Limit    int    `msgpack:"l" json:"limit"`
	Requests int64  `msgpack:"r" json:"requests"`
}

// GroupSnapshot is a snapshot of the state of one group.
type GroupSnapshot struct {
	Group uint32 `msgpack:"g"`
	// RequestID deduplicates the loading of a snapshot: a resend returns the first reply.
	RequestID string `msgpack:"q,omitempty"`
	Data      []byte `msgpack:"d,omitempty"`
}

// RemoveMember removes a state member from the groups that the receiver leads.
type RemoveMember struct {
	ID string `msgpack:"i"`
}

// GroupsReply lists the groups in which the receiver has executed a command.
type GroupsReply struct {
	Groups []uint32 `msgpack:"g"`
}
