package operator

import (
	"context"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/fleet"
)

// NextRolloutOrder returns the number under which the next order for a service can be executed. It is
// higher than those of all orders that have been acknowledged.
func (o *Operations) NextRolloutOrder(ctx context.Context, service string) (uint64, error) {
	reply, err := o.Client.RolloutState(ctx, &fleet.RolloutStateRequest{Service: service})
	if err != nil {
		return 0, olderBuildError(err)
	}
	return reply.NextOrder, nil
}

// StartRollout orders a roll-out. It fails if another one of the service is in progress, or if another
// order for the service has been executed under this number.
func (o *Operations) StartRollout(ctx context.Context, service, to string, duration time.Duration, order uint64) error {
	_, err := o.Client.StartRollout(ctx, &fleet.RolloutRequest{Service: service, To: to, Duration: duration, Order: order})
	return olderBuildError(err)
}

// Rollout returns the state of the latest roll-out of a service.
func (o *Operations) Rollout(ctx context.Context, service string) (*fleet.RolloutStatus, error) {
	reply, err := o.Client.RolloutState(ctx, &fleet.RolloutStateRequest{Service: service})
	if err != nil {
		return nil, olderBuildError(err)
	}
	if reply.Phase == 0 {
		return nil, errs.New(errs.NotFound, "name a service that has had a roll-out", "service %q has had no roll-out", service)
	}
	return reply, nil
}

// olderBuildError replaces the error of a leader that does not know the method. It must not be taken for
// the statement that a service is not known.
func olderBuildError(err error) error {
	e := errs.From(err)
	if e == nil || e.Code != errs.NotFound || e.Remedy != unknownMethodRemedy {
		return err
	}
	return errs.New(errs.Unavailable, "replace the controllers of older builds first", "the leader does not know roll-outs")
}

// unknownMethodRemedy is the remedy in the error of package wire about an unknown method.
const unknownMethodRemedy = "upgrade the peer"
