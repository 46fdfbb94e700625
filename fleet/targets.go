package fleet

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Target is a process that runs requests of a service.
type Target struct {
	ID       string        `msgpack:"i"`
	Service  string        `msgpack:"s"`
	Address  string        `msgpack:"a"`
	Zone     string        `msgpack:"z"`
	Slots    int           `msgpack:"n"`
	Born     int64         `msgpack:"b,omitempty"` // start, in Unix ms; tells restarts under one id apart
	Draining bool          `msgpack:"d,omitempty"`
	ColdFor  time.Duration `msgpack:"c,omitempty"` // from the read of the list
}

// EncodedTargets is a list of targets in its encoded form, which is shared by many answers.
type EncodedTargets []byte

// EncodeTargets encodes a list.
func EncodeTargets(list []Target) (EncodedTargets, error) {
	body, err := msgpack.Marshal(list)
	return body, errors.Wrap(err, "encode the list of targets")
}

// Decode returns the list.
func (e EncodedTargets) Decode() ([]Target, error) {
	if len(e) == 0 {
		return nil, nil
	}
	var list []Target
	err := msgpack.Unmarshal(e, &list)
	return list, errors.Wrap(err, "decode a list of targets")
}

// TargetChange leads from one list of targets to a newer one.
type TargetChange struct {
	// Digest names the list that results.
	Digest uint64 `msgpack:"d"`
	// Whole tells that Changed is the whole list.
	Whole   bool           `msgpack:"w,omitempty"`
	Changed EncodedTargets `msgpack:"c,omitempty"`
	Gone    []string       `msgpack:"g,omitempty"` // ids
	// Age is the time since the list was read.
	Age time.Duration `msgpack:"a"`
}

// Loads counts requests in flight, one byte for each target in the order of the ids.
type Loads []byte

// MaxLoad is the highest count that Loads holds; higher ones are given as MaxLoad.
const MaxLoad = math.MaxUint8

// EncodeLoads returns the counts in their order.
func EncodeLoads(counts []int32) Loads {
	out := make(Loads, len(counts))
	for i, n := range counts {
		out[i] = byte(min(max(n, 0), MaxLoad))
	}
	return out
}

// Outcomes counts requests at a target by how they ended.
type Outcomes struct {
	OK     uint16 `msgpack:"o,omitempty"`
	Failed uint16 `msgpack:"f,omitempty"`
}
