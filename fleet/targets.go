package fleet

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Target is a process that runs requests of a service.
type Target struct {
	ID        string        `msgpack:"i"`
	Service   string        `msgpack:"s"`
	Address   string        `msgpack:"a"`
	Zone      string        `msgpack:"z"`
	Slots     int           `msgpack:"n"`
	Version   string        `msgpack:"v,omitempty"` // of the target's software; empty: not stated
	StartedAt int64         `msgpack:"b,omitempty"` // start time in Unix ms; distinguishes restarts under the same id
	Draining  bool          `msgpack:"d,omitempty"`
	ColdFor   time.Duration `msgpack:"c,omitempty"` // time that the target stays cold, counted from when the list was read
}

// EncodedTargets is an encoded list of targets. It is encoded once and shared by many replies.
type EncodedTargets []byte

// EncodeTargets encodes a list of targets.
func EncodeTargets(list []Target) (EncodedTargets, error) {
	body, err := msgpack.Marshal(list)
	return body, errors.Wrap(err, "encode the list of targets")
}

// Decode returns the decoded list.
func (e EncodedTargets) Decode() ([]Target, error) {
	if len(e) == 0 {
		return nil, nil
	}
	var list []Target
	err := msgpack.Unmarshal(e, &list)
	return list, errors.Wrap(err, "decode a list of targets")
}

// TargetChange is the difference between a host's list of targets and a newer one.
type TargetChange struct {
	// Digest is the digest of the resulting list.
	Digest uint64 `msgpack:"d"`
	// Full reports whether Changed is the complete list.
	Full    bool           `msgpack:"w,omitempty"`
	Changed EncodedTargets `msgpack:"c,omitempty"`
	Removed []string       `msgpack:"g,omitempty"` // ids of removed targets
	// Age is the time since the list was read.
	Age time.Duration `msgpack:"a"`
}

// Loads holds in-flight requests as one byte per target, in the order of the ids.
type Loads []byte

// MaxLoad is the highest count that Loads can hold. Higher counts are capped to it.
const MaxLoad = math.MaxUint8

// EncodeLoads encodes counts that are in the order of the target ids.
func EncodeLoads(counts []int32) Loads {
	out := make(Loads, len(counts))
	for i, n := range counts {
		out[i] = byte(min(max(n, 0), MaxLoad))
	}
	return out
}

// Outcomes counts the requests at a target by outcome.
type Outcomes struct {
	OK     uint16 `msgpack:"o,omitempty"`
	Failed uint16 `msgpack:"f,omitempty"`
}
