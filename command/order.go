package command

import (
	"context"
	"flag"

	"github.com/figlb/figlb/structs"
)

var orderActions = []string{"load_model", "load_adapter", "set_version", "set_role"}

func orderSubmitVerb() *verb {
	return &verb{
		name:     "order submit",
		synopsis: "order a model engine to load a model or adapter, or to change its version or role",
		args:     "TARGET ACTION VALUE",
		example:  "figlbctl order submit engine-01 load_adapter monograms-v3",
		flags:    func(*flag.FlagSet) runFunc { return orderSubmit },
	}
}

func orderSubmit(ctx context.Context, in *invocation) error {
	if err := in.requireArgs(3, "TARGET, ACTION and VALUE"); err != nil {
		return err
	}
	known := false
	for _, a := range orderActions {
		known = known || a == in.args[1]
	}
	if !known {
		return usagef("action %q is unknown, use one of %v", in.args[1], orderActions)
	}
	order := &structs.EngineOrder{ID: in.requestID(), Target: in.args[0], Action: in.args[1], Value: in.args[2]}
	reply, err := in.api.Config(ctx, in.configCommand(structs.ConfigCommand{SubmitOrder: order}))
	return in.printRevision(reply, err)
}

func orderListVerb() *verb {
	return &verb{
		name:     "order list",
		synopsis: "list orders to engines and their state",
		example:  "figlbctl order list",
		flags:    func(*flag.FlagSet) runFunc { return orderList },
	}
}

func orderList(ctx context.Context, in *invocation) error {
	if err := in.rejectArgs(); err != nil {
		return err
	}
	reply, err := in.api.QueryConfig(ctx, structs.ConfigQuery{Kinds: []structs.Kind{structs.KindSite}})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, o := range reply.Orders {
		rows = append(rows, []string{o.ID, o.Target, o.Action, o.Value, o.State, formatInt(o.Fencing), o.Detail})
	}
	return in.print(reply.Orders, []string{"ID", "TARGET", "ACTION", "VALUE", "STATE", "FENCING", "DETAIL"}, rows)
}
