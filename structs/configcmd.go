package structs

// ConfigCommand is a write that is replicated through the log of group 0. Exactly one of its
// pointers is set.
type ConfigCommand struct {
	// RequestID deduplicates the command: a resend returns the first reply.
	RequestID string `msgpack:"q"`
	Author    string `msgpack:"u,omitempty"`
	// Now is the wall-clock time at the leader in Unix seconds.
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
	// PlannedFrom is the revision that the change is based on. The command fails with a
	// conflict if the current revision differs.
	PlannedFrom uint64      `msgpack:"p"`
	Declaration Declaration `msgpack:"d"`
	Note        string      `msgpack:"n,omitempty"`
}

// RollbackConfig applies the declaration of an earlier revision as a new revision.
type RollbackConfig struct {
	PlannedFrom uint64 `msgpack:"p"`
	To          uint64 `msgpack:"t"`
}

// RevokeKey revokes a key permanently.
type RevokeKey struct {
	ID string `msgpack:"i"`
}

// SetDrain takes a zone, host or target out of service (On) or returns it to service.
type SetDrain struct {
	Drain Drain `msgpack:"d"`
	On    bool  `msgpack:"o"`
	// Order is the number of the command among those for the same object, from
	// ConfigQueryReply.NextDrainOrder. The command fails with a conflict if another one has been
	// executed under this number. 0 is a command without a number, which is always executed.
	Order uint64 `msgpack:"n,omitempty"`
}

// LiftFingerprint ends the quarantine of a request digest.
type LiftFingerprint struct {
	Digest string `msgpack:"d"`
}

// AcquireIssuer makes Member the only issuer of engine orders and assigns it a new fencing
// number.
type AcquireIssuer struct {
	Member string `msgpack:"m"`
	Term   uint64 `msgpack:"t"`
}

// EngineOrder instructs a model engine to load a model or an adapter, or to change its version
// or role.
type EngineOrder struct {
	ID     string `msgpack:"i" json:"id"`
	Target string `msgpack:"t" json:"target"`
	// Action is "load_model", "load_adapter", "set_version" or "set_role".
	Action string `msgpack:"a" json:"action"`
	Value  string `msgpack:"v" json:"value"`
	// State is "pending", "done" or "failed".
	State string `msgpack:"s" json:"state"`
	// Fencing is the fencing number with which the order was last sent.
	Fencing uint64 `msgpack:"f" json:"fencing"`
	Detail  string `msgpack:"d,omitempty" json:"detail,omitempty"`
}

// UpdateOrder records an order's progress. An update with an outdated fencing number is
// rejected.
type UpdateOrder struct {
	ID      string `msgpack:"i"`
	Fencing uint64 `msgpack:"f"`
	State   string `msgpack:"s"`
	Detail  string `msgpack:"d,omitempty"`
}

// ConfigReply answers a ConfigCommand.
type ConfigReply struct {
	Revision uint64 `msgpack:"r" json:"revision"`
	// Fencing is the fencing number assigned by AcquireIssuer.
	Fencing uint64 `msgpack:"f,omitempty" json:"fencing,omitempty"`
}

// ConfirmConfig is an entry's poll. It asks whether the entry's revision is still current.
type ConfirmConfig struct {
	Entry       EntryInfo `msgpack:"e"`
	Incarnation string    `msgpack:"i"`
	Revision    uint64    `msgpack:"r"`
	// LiveHash is the ConfirmReply.LiveHash of the list of live entries that the sender holds;
	// 0 means none. Package stateclient sets it.
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

// ConfirmReply returns the current revision and the objects that changed since the poll's
// revision.
type ConfirmReply struct {
	Revision uint64   `msgpack:"r"`
	Objects  []Object `msgpack:"o,omitempty"`
	// Full reports that Objects is the whole configuration because the poll's revision was
	// too old for a delta.
	Full bool `msgpack:"f,omitempty"`
	// Live lists the incarnations of entries that polled within the membership timeout. It
	// is empty while a new leader may not know all of them yet; no entry is then considered
	// dead.
	Live []string `msgpack:"l,omitempty"`
	// LiveHash identifies the list; it is 0 for the empty list. SameLive reports that the list
	// is the one that the poll's LiveHash identifies. Live is then omitted, because the list
	// takes 16 KB with 370 entries.
	LiveHash uint64 `msgpack:"h,omitempty"`
	SameLive bool   `msgpack:"s,omitempty"`
}

// CurrentDeclaration, as the value of ConfigQuery.DeclarationOf, requests the current
// declaration.
const CurrentDeclaration = ^uint64(0)

// ConfigQuery reads the configuration or its history.
type ConfigQuery struct {
	// Kinds restricts the objects to these kinds; empty means all.
	Kinds   []Kind `msgpack:"k,omitempty"`
	History bool   `msgpack:"h,omitempty"`
	// DeclarationOf requests the declaration of a revision; 0 means none.
	DeclarationOf uint64 `msgpack:"d,omitempty"`
	// NextDrainOrder requests the number of the next drain command for the object with this
	// DrainName; empty means none.
	NextDrainOrder string `msgpack:"n,omitempty"`
}

// ConfigQueryReply answers a ConfigQuery.
type ConfigQueryReply struct {
	Revision    uint64         `msgpack:"r"`
	Objects     []Object       `msgpack:"o,omitempty"`
	History     []RevisionInfo `msgpack:"h,omitempty"`
	Declaration *Declaration   `msgpack:"d,omitempty"`
	Orders      []EngineOrder  `msgpack:"e,omitempty"`
	Entries     []EntryInfo    `msgpack:"n,omitempty"`
	// NextDrainOrder is the number of the next drain command for the requested object. It is above
	// the numbers of all commands that have been acknowledged.
	NextDrainOrder uint64 `msgpack:"x,omitempty"`
}
