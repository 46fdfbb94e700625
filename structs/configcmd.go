package structs

// ConfigCommand is a log-applied write of group 0. Exactly one of its pointers is set.
type ConfigCommand struct {
	// RequestID makes a resend return the first answer.
	RequestID string `msgpack:"q"`
	Author    string `msgpack:"u,omitempty"`
	// Now is wall-clock time at the leader, Unix seconds.
	Now             int64            `msgpack:"t,omitempty"`
	Apply           *ApplyConfig     `msgpack:"a,omitempty"`
	Rollback        *RollbackConfig  `msgpack:"b,omitempty"`
	GrantKey        *Key             `msgpack:"g,omitempty"`
	RevokeKey       *RevokeKey       `msgpack:"k,omitempty"`
	SetDrain        *SetDrain        `msgpack:"d,omitempty"`
	AddFingerprint  *Fingerprint     `msgpack:"f,omitempty"`
	LiftFingerprint *LiftFingerprint `msgpack:"l,omitempty"`
	AcquireIssuer   *AcquireIssuer   `msgpack:"i,omitempty"`
	SubmitOrder     *EngineOrder     `msgpack:"o,omitempty"`
	UpdateOrder     *UpdateOrder     `msgpack:"p,omitempty"`
	Restore         *Restore         `msgpack:"r,omitempty"`
}

// ApplyConfig replaces the declared objects.
type ApplyConfig struct {
	// PlannedFrom is the revision the change was planned from; another current
	// revision is a conflict.
	PlannedFrom uint64      `msgpack:"p"`
	Declaration Declaration `msgpack:"d"`
	Note        string      `msgpack:"n,omitempty"`
}

// RollbackConfig applies the declaration of an earlier revision as a new revision.
type RollbackConfig struct {
	PlannedFrom uint64 `msgpack:"p"`
	To          uint64 `msgpack:"t"`
}

// RevokeKey withdraws a key for ever.
type RevokeKey struct {
	ID string `msgpack:"i"`
}

// SetDrain takes a zone, host or target out (On) or brings it back.
type SetDrain struct {
	Drain Drain `msgpack:"d"`
	On    bool  `msgpack:"o"`
}

// LiftFingerprint ends a quarantine.
type LiftFingerprint struct {
	Digest string `msgpack:"d"`
}

// AcquireIssuer makes Member the only issuer of orders to engines under a new fencing
// number.
type AcquireIssuer struct {
	Member string `msgpack:"m"`
	Term   uint64 `msgpack:"t"`
}

// EngineOrder tells a model engine to load something or change its role.
type EngineOrder struct {
	ID     string `msgpack:"i" json:"id"`
	Target string `msgpack:"t" json:"target"`
	// Action is "load_model", "load_adapter", "set_version" or "set_role".
	Action string `msgpack:"a" json:"action"`
	Value  string `msgpack:"v" json:"value"`
	// State is "pending", "done" or "failed".
	State string `msgpack:"s" json:"state"`
	// Fencing is the number the order was last sent with.
	Fencing uint64 `msgpack:"f" json:"fencing"`
	Detail  string `msgpack:"d,omitempty" json:"detail,omitempty"`
}

// UpdateOrder records an order's progress; an old fencing number is refused.
type UpdateOrder struct {
	ID      string `msgpack:"i"`
	Fencing uint64 `msgpack:"f"`
	State   string `msgpack:"s"`
	Detail  string `msgpack:"d,omitempty"`
}

// ConfigReply answers a ConfigCommand.
type ConfigReply struct {
	Revision uint64 `msgpack:"r" json:"revision"`
	// Fencing answers AcquireIssuer.
	Fencing uint64 `msgpack:"f,omitempty" json:"fencing,omitempty"`
}

// ConfirmConfig is an entry's poll: it asks whether its revision is still current.
type ConfirmConfig struct {
	Entry       EntryInfo `msgpack:"e"`
	Incarnation string    `msgpack:"i"`
	Revision    uint64    `msgpack:"r"`
	// LiveHash is the reply's LiveHash that came with the list of live entries the sender
	// has; 0: none. Package stateclient fills it in.
	LiveHash uint64 `msgpack:"l,omitempty"`
}

// EntryInfo describes a live entry.
type EntryInfo struct {
	ID       string `msgpack:"i" json:"id"`
	Zone     string `msgpack:"z" json:"zone"`
	Address  string `msgpack:"a" json:"address"`
	Draining bool   `msgpack:"d,omitempty" json:"draining"`
	Revision uint64 `msgpack:"r,omitempty" json:"revision"`
}

// ConfirmReply confirms the current revision and carries the objects changed since.
type ConfirmReply struct {
	Revision uint64   `msgpack:"r"`
	Objects  []Object `msgpack:"o,omitempty"`
	// Full tells that Objects is the whole configuration: the poll's revision was too
	// old for a delta.
	Full bool `msgpack:"f,omitempty"`
	// Live lists the incarnations of entries that polled within the membership timeout. It
	// is empty while a new leader may not know them all: then none counts as dead.
	Live []string `msgpack:"l,omitempty"`
	// LiveHash identifies the list; 0 for the empty list. SameLive tells that the list is
	// the one that the poll named, and is left out: with 370 entries it takes 16 KB.
	LiveHash uint64 `msgpack:"h,omitempty"`
	SameLive bool   `msgpack:"s,omitempty"`
}

// CurrentDeclaration as ConfigQuery.DeclarationOf asks for the declaration in force.
const CurrentDeclaration = ^uint64(0)

// ConfigQuery reads the configuration or its history.
type ConfigQuery struct {
	// Kinds limits the objects; empty means all.
	Kinds   []Kind `msgpack:"k,omitempty"`
	History bool   `msgpack:"h,omitempty"`
	// DeclarationOf asks for the declaration of a revision; 0: none.
	DeclarationOf uint64 `msgpack:"d,omitempty"`
}

// ConfigQueryReply answers a ConfigQuery.
type ConfigQueryReply struct {
	Revision    uint64         `msgpack:"r"`
	Objects     []Object       `msgpack:"o,omitempty"`
	History     []RevisionInfo `msgpack:"h,omitempty"`
	Declaration *Declaration   `msgpack:"d,omitempty"`
	Orders      []EngineOrder  `msgpack:"e,omitempty"`
	Entries     []EntryInfo    `msgpack:"n,omitempty"`
}
