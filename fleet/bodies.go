package fleet

import (
	"time"

	"github.com/figlb/figlb/statemachine/ledgersm"
)

// Names of the RPC methods by which bodies of turns are kept on store hosts.
const (
	MethodBodyPut   = "body.put"
	MethodBodyGet   = "body.get"
	MethodBodyOffer = "body.offer"
	// MethodKnownBodies is answered by the leader of the ledger group.
	MethodKnownBodies = "ledger.known"
	// MethodFeatures is answered by controllers that know features; older builds report an unknown
	// method.
	MethodFeatures = "fleet.features"
)

// FeatureBodies is the bit of PollRequest.Features and FeaturesReply.Features that states that a
// process understands references to bodies of turns on store hosts.
const FeatureBodies uint64 = 1 << 0

// Store is a store host that can hold bodies of turns.
type Store struct {
	Name    string `msgpack:"n"`
	Address string `msgpack:"a"` // at which it serves the body methods
	Zone    string `msgpack:"z"`
	// Incarnation identifies the content of the disk: a host whose disk was lost gets another one.
	Incarnation string `msgpack:"i"`
	DiskMB      int    `msgpack:"d"`
	Writable    bool   `msgpack:"w"`
	Retiring    bool   `msgpack:"r,omitempty"` // its bodies are being moved to the other stores
}

// StoreView is the list of store hosts by which bodies are placed, sorted by name.
type StoreView struct {
	Revision uint64  `msgpack:"v"`
	Copies   int     `msgpack:"c"` // number of stores that hold each body
	Stores   []Store `msgpack:"s"`
}

// StoreReport is what a store host tells the leader with each poll.
type StoreReport struct {
	Address     string `msgpack:"a"`
	Incarnation string `msgpack:"i"`
	DiskMB      int    `msgpack:"d"`
	UsedMB      int    `msgpack:"u"`
	Writable    bool   `msgpack:"w"`
	Bodies      int    `msgpack:"b"`
	// Remaining counts the bodies on this host that lack a confirmed copy elsewhere, judged by the view
	// with revision ViewRevision.
	Remaining    int    `msgpack:"m"`
	ViewRevision uint64 `msgpack:"v"`
}

// BodyKey returns the key of the body of a turn.
func BodyKey(org, attempt string) string { return org + "\x00" + attempt }

// BodyPut stores the body of a turn. It is idempotent; the body is durable before the reply.
type BodyPut struct {
	Key string `msgpack:"k"`
	// Retention is the time for which the store keeps the body without asking the ledger.
	Retention time.Duration `msgpack:"r"`
	Input     []byte        `msgpack:"i"`
	Output    []byte        `msgpack:"o"`
}

// BodyPutReply acknowledges a body.
type BodyPutReply struct {
	Incarnation string `msgpack:"i"`
	// View is the digest of the view by which the store places bodies; 0: it has none.
	View uint64 `msgpack:"v,omitempty"`
}

// BodyGet asks for bodies.
type BodyGet struct {
	Keys []string `msgpack:"k"`
}

// Body is the input and output of a turn.
type Body struct {
	Key    string `msgpack:"k"`
	Found  bool   `msgpack:"f"`
	Input  []byte `msgpack:"i,omitempty"`
	Output []byte `msgpack:"o,omitempty"`
}

// BodyGetReply holds the bodies in the order of the keys that were asked for. It may end early to
// bound its size; the rest has to be asked for again.
type BodyGetReply struct {
	Bodies []Body `msgpack:"b"`
}

// BodyOffer tells a store which bodies the sender holds and the store should hold.
type BodyOffer struct {
	Keys []string `msgpack:"k"`
	From string   `msgpack:"f"` // name of the offering store
}

// BodyOfferReply names the offered bodies that the store does not hold. The store holds all others.
type BodyOfferReply struct {
	Incarnation string `msgpack:"i"`
	// Missing names the bodies that the sender should send.
	Missing []string `msgpack:"m"`
	// Pending names the bodies that another store has been asked to send, or that exceed what the
	// store takes at once. They have to be offered again.
	Pending []string `msgpack:"p,omitempty"`
	// View is the digest of the view by which the store places bodies; 0: it has none. A sender relies
	// on the copy only if its own view is the same: the store may be about to drop the body otherwise.
	View uint64 `msgpack:"v,omitempty"`
}

// KnownRequest asks the leader of the ledger which bodies it refers to.
type KnownRequest struct {
	Keys []string `msgpack:"k"`
}

// KnownReply answers a KnownRequest in the order of its keys.
type KnownReply struct {
	Known []bool `msgpack:"k"`
}

// FeaturesReply tells which features a controller understands.
type FeaturesReply struct {
	Features uint64 `msgpack:"f"`
}

// HistoryPart is one turn of the history that a turn continues: the input and output themselves, or
// a reference to them on store hosts.
type HistoryPart struct {
	Inline []byte            `msgpack:"i,omitempty"`
	Ref    *ledgersm.BodyRef `msgpack:"r,omitempty"`
}
