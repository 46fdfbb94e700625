package command

import (
	"context"
	"flag"

	"github.com/figlb/figlb/structs"
)

func drainVerb() *verb {
	return drainOrReturn("drain", "take an availability zone, host or target out of service: it gets no new work", true)
}

func returnVerb() *verb {
	return drainOrReturn("return", "return an availability zone, host or target to service, starting at its cold limit", false)
}

func drainOrReturn(name, synopsis string, on bool) *verb {
	return &verb{
		name:     name,
		synopsis: synopsis,
		args:     "zone|host|target NAME",
		example:  "figlbctl " + name + " zone lagos-a\nfiglbctl " + name + " target engine-01",
		flags: func(*flag.FlagSet) runFunc {
			return func(ctx context.Context, in *invocation) error { return setDrain(ctx, in, on) }
		},
	}
}

func setDrain(ctx context.Context, in *invocation, on bool) error {
	if err := in.requireArgs(2, "zone|host|target and NAME"); err != nil {
		return err
	}
	scope := structs.Kind(in.args[0])
	switch scope {
	case structs.KindZone, structs.KindHost, structs.KindTarget:
	default:
		return usagef("%q cannot be drained, use zone, host or target", in.args[0])
	}
	// With its number, a command that is given up and arrives late cannot undo a later one.
	d := structs.Drain{Scope: scope, Name: in.args[1]}
	conf, err := in.api.QueryConfig(ctx, structs.ConfigQuery{Kinds: []structs.Kind{structs.KindSite}, NextDrainOrder: structs.DrainName(d.Scope, d.Name)})
	if err != nil {
		return err
	}
	reply, err := in.api.Config(ctx, in.configCommand(structs.ConfigCommand{
		SetDrain: &structs.SetDrain{Drain: d, On: on, Order: conf.NextDrainOrder},
	}))
	return in.printRevision(reply, err)
}
