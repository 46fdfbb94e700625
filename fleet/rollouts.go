package fleet

import (
	"time"

	"github.com/figlb/figlb/rollout"
)

// Names of the RPC methods for roll-outs.
const (
	MethodRollout = "document.rollout"
	// MethodRolloutState returns the state of a service's roll-out and the number of its next order.
	MethodRolloutState = "document.rollout_state"
	// MethodExposure asks for the permission to send one request to a version that is on trial.
	MethodExposure = "fleet.exposure"
)

// FeatureRollouts is the bit of PollRequest.Features and FeaturesReply.Features that states that a
// process takes part in roll-outs.
const FeatureRollouts uint64 = 1 << 1

// KnownFeatures returns the features that this build understands.
func KnownFeatures() uint64 { return FeatureBodies | FeatureRollouts | FeatureEventLogs }

// RolloutRequest orders a roll-out.
type RolloutRequest struct {
	Service  string        `msgpack:"s"`
	To       string        `msgpack:"t"`
	Duration time.Duration `msgpack:"d"`
	// Order is the number of the order for the service, from RolloutStatus.NextOrder.
	Order uint64 `msgpack:"n"`
}

// RolloutStateRequest asks for the state of a service's roll-out.
type RolloutStateRequest struct {
	Service string `msgpack:"s"`
}

// RolloutStatus is the state of the latest roll-out of a service.
type RolloutStatus struct {
	Phase     rollout.Phase `msgpack:"p"` // 0: the service has had no roll-out
	To        string        `msgpack:"t"`
	Reason    string        `msgpack:"r,omitempty"`
	NextOrder uint64        `msgpack:"n"`
}

// Rollout is what gateways have to know about the roll-out of a service.
type Rollout struct {
	Service string        `msgpack:"s"`
	To      string        `msgpack:"t"`
	Order   uint64        `msgpack:"n"`
	Phase   rollout.Phase `msgpack:"p"`
	// Share is the part of the requests that is offered to the new version while it is on trial.
	Share float64 `msgpack:"h"`
	// Lifetime is the time, counted from the sending of the poll, after which Share is 0.
	Lifetime time.Duration `msgpack:"l"`
}

// RolloutReport is what a gateway has seen of a roll-out since it knows its order. All counts are sums
// since then, so that a lost poll loses nothing and a new leader has the whole evidence at once.
type RolloutReport struct {
	Service string        `msgpack:"s"`
	Order   uint64        `msgpack:"n"`
	Phase   rollout.Phase `msgpack:"p"` // that the gateway applies
	// OldInFlight counts the requests in flight at other versions of the service.
	OldInFlight int32 `msgpack:"f,omitempty"`
	// Sent counts the requests sent to the service, and Exposed those of them sent to the new version.
	Sent     uint64           `msgpack:"u,omitempty"`
	Exposed  uint64           `msgpack:"x,omitempty"`
	Outcomes []VersionOutcome `msgpack:"o,omitempty"`
}

// VersionOutcome sums up the requests of a route at one target of the new version, or at all targets of
// the other versions.
type VersionOutcome struct {
	Route  string         `msgpack:"r"`
	Target string         `msgpack:"t,omitempty"` // empty: the other versions
	Counts rollout.Counts `msgpack:"c"`
}

// ExposureRequest asks for the permission to send one request to the version that is on trial.
type ExposureRequest struct {
	Service string `msgpack:"s"`
	Order   uint64 `msgpack:"n"`
}

// ExposureReply answers an ExposureRequest.
type ExposureReply struct {
	Granted bool `msgpack:"g"`
}
