package command

import (
	"context"
	"flag"
	"time"
)

// Rollouts is the client interface to the operator API of the controllers.
type Rollouts interface {
	// Start orders a roll-out. It may be repeated.
	Start(ctx context.Context, service, to string, duration time.Duration) error
	// State returns the state of the latest roll-out of a service, the version and the reason of the
	// verdict.
	State(ctx context.Context, service string) (state, to, reason string, err error)
}

// rolloutFlags holds the flags of the verbs for roll-outs, which contact a controller and no state member.
type rolloutFlags struct {
	api      string
	timeout  time.Duration
	to       string
	duration time.Duration
}

func (f *rolloutFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.api, "api", envOr("FIGLB_API", ""), "address of a controller's operator API, host:port (or FIGLB_API)")
	fs.DurationVar(&f.timeout, "timeout", defaultTimeout, "give up after this time")
}

// connect returns the client of the operator API.
func (f *rolloutFlags) connect(in *invocation) (Rollouts, error) {
	if f.api == "" {
		return nil, usagef("no controller is given, use -api host:port or FIGLB_API")
	}
	return in.env.ConnectRollouts(f.api), nil
}

func rolloutStartVerb() *verb {
	return &verb{
		name:     "rollout start",
		synopsis: "move the traffic of a service to the targets of another software version, with a trial",
		args:     "SERVICE",
		example:  "figlbctl rollout start search -to v2 -duration 60s -api 10.0.0.1:8080",
		local:    true,
		flags: func(fs *flag.FlagSet) runFunc {
			f := &rolloutFlags{}
			f.register(fs)
			fs.StringVar(&f.to, "to", "", "the new version")
			fs.DurationVar(&f.duration, "duration", time.Minute, "time limit of the roll-out")
			return f.start
		},
	}
}

func (f *rolloutFlags) start(ctx context.Context, in *invocation) error {
	if err := in.requireArgs(1, "SERVICE"); err != nil {
		return err
	}
	if f.to == "" || f.duration <= 0 {
		return usagef("give the new version with -to, and a positive -duration")
	}
	client, err := f.connect(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	if err := client.Start(ctx, in.args[0], f.to, f.duration); err != nil {
		return err
	}
	return f.printState(ctx, in, client)
}

func rolloutStatusVerb() *verb {
	return &verb{
		name:     "rollout status",
		synopsis: "show the state of the latest roll-out of a service and the reason of its verdict",
		args:     "SERVICE",
		example:  "figlbctl rollout status search -api 10.0.0.1:8080",
		local:    true,
		flags: func(fs *flag.FlagSet) runFunc {
			f := &rolloutFlags{}
			f.register(fs)
			return f.status
		},
	}
}

func (f *rolloutFlags) status(ctx context.Context, in *invocation) error {
	if err := in.requireArgs(1, "SERVICE"); err != nil {
		return err
	}
	client, err := f.connect(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	return f.printState(ctx, in, client)
}

func (f *rolloutFlags) printState(ctx context.Context, in *invocation, client Rollouts) error {
	state, to, reason, err := client.State(ctx, in.args[0])
	if err != nil {
		return err
	}
	row := map[string]string{"service": in.args[0], "state": state, "to": to, "reason": reason}
	return in.print(row, []string{"SERVICE", "STATE", "TO", "REASON"}, [][]string{{in.args[0], state, to, reason}})
}
