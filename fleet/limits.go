package fleet

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"
)

const (
	// NoLimit is the value of LimitStatement.PerSecond if the target names no request limit any
	// more.
	NoLimit = -1
	// MinRequestLimit is the rate, in requests per second, at which requests are sent to a target
	// that names a lower limit. Without any request, no response could tell that the limit has
	// changed.
	MinRequestLimit = 0.2
)

// LimitStatement is what a target has said about the number of requests per second that it takes
// from all hosts together. It is encoded as an array, because every request to a limited target
// sends some.
type LimitStatement struct {
	//lint:ignore U1000 an instruction to the encoder, which finds the field by its name
	_msgpack  struct{} `msgpack:",as_array"`
	Target    string
	PerSecond float32
	AgeMs     uint32 // time since the target has said so, in ms
}

// Age returns the time since the target has said so.
func (s *LimitStatement) Age() time.Duration { return time.Duration(s.AgeMs) * time.Millisecond }

// LimitVersion identifies the statements that a host has received: all up to a revision of the
// leader of a term.
type LimitVersion struct {
	Term     uint64 `msgpack:"t"`
	Revision uint64 `msgpack:"r"`
}

// LimitChange holds the statements that a host has not received yet.
type LimitChange struct {
	Version LimitVersion  `msgpack:"v"`
	Limits  EncodedLimits `msgpack:"l,omitempty"`
}

// Limit is one statement of a LimitChange.
type Limit struct {
	Index     int     // position of the target in the list of targets, which is sorted by id
	PerSecond float64 // negative: no limit
	Age       time.Duration
}

// EncodedLimits holds Limits with four bytes each: the index, the limit and the age.
type EncodedLimits []byte

const (
	encodedLimitSize = 4
	// maxLimitIndex is the highest index that EncodedLimits can hold.
	maxLimitIndex = math.MaxUint16
	// limitStep is the ratio of two consecutive limits that EncodedLimits can hold. Limits are
	// rounded down.
	limitStep = 1.045
	// limitAgeUnit is the unit of the ages in EncodedLimits. Ages are rounded up, and those of more
	// than 255 units are capped.
	limitAgeUnit = 100 * time.Millisecond
)

// EncodeLimits encodes limits. It leaves out targets whose index is too high.
func EncodeLimits(limits []Limit) EncodedLimits {
	out := make(EncodedLimits, 0, len(limits)*encodedLimitSize)
	for _, l := range limits {
		if l.Index > maxLimitIndex {
			continue
		}
		age := min((l.Age+limitAgeUnit-1)/limitAgeUnit, math.MaxUint8)
		out = binary.LittleEndian.AppendUint16(out, uint16(l.Index))
		out = append(out, LimitCode(l.PerSecond), byte(max(age, 0)))
	}
	return out
}

// Decode returns the encoded limits.
func (e EncodedLimits) Decode() ([]Limit, error) {
	if len(e)%encodedLimitSize != 0 {
		return nil, errors.Errorf("encoded limits have %d bytes, which is not a multiple of %d", len(e), encodedLimitSize)
	}
	out := make([]Limit, 0, len(e)/encodedLimitSize)
	for ; len(e) > 0; e = e[encodedLimitSize:] {
		out = append(out, Limit{
			Index:     int(binary.LittleEndian.Uint16(e)),
			PerSecond: limitOfCode(e[2]),
			Age:       time.Duration(e[3]) * limitAgeUnit,
		})
	}
	return out, nil
}

// LimitCode returns the code of a limit in EncodedLimits: 0 for no limit, otherwise 1 and more by
// steps of limitStep from MinRequestLimit on. Limits with the same code count as equal.
func LimitCode(perSecond float64) byte {
	if perSecond < 0 {
		return 0
	}
	steps := math.Floor(math.Log(max(perSecond, MinRequestLimit)/MinRequestLimit) / math.Log(limitStep))
	return byte(min(1+steps, math.MaxUint8))
}

// limitOfCode returns the limit that a code stands for. The factor keeps the rounding of floating
// point numbers from moving it to the code below.
func limitOfCode(code byte) float64 {
	if code == 0 {
		return NoLimit
	}
	const roundingMargin = 1 + 1e-9
	return MinRequestLimit * math.Pow(limitStep, float64(code-1)) * roundingMargin
}

// PermitRequest asks the leader for the permit to send one request to one of several targets that
// name a request limit.
type PermitRequest struct {
	// Candidates holds the ids of the targets in order of preference.
	Candidates []string `msgpack:"c"`
	// Limits holds what the host knows of the candidates' limits, as far as the leader may not
	// know it.
	Limits []LimitStatement `msgpack:"l,omitempty"`
	// MaxDelay is how far ahead the permit may be granted.
	MaxDelay time.Duration `msgpack:"d,omitempty"`
	// NoAlternative is set if the service has no other target for the request.
	NoAlternative bool `msgpack:"n,omitempty"`
}

// PermitReply answers a PermitRequest.
type PermitReply struct {
	// Granted is the position of the target in the candidates, counted from 1; 0: no permit.
	Granted int `msgpack:"g,omitempty"`
	// Delay is the time after which the request may be sent.
	Delay time.Duration `msgpack:"d,omitempty"`
	// WaitMs holds, if no permit was granted, the times until the candidates have the next one, in
	// ms. It is empty if the leader knows the limit of none of them.
	WaitMs []int `msgpack:"w,omitempty"`
	// RetryAfter is the time after which the caller of a refused request should return. It is set
	// if no permit was granted and there is no alternative.
	RetryAfter time.Duration `msgpack:"r,omitempty"`
}
