package command

import (
	"context"
	"flag"

	"github.com/figlb/figlb/structs"
)

func callGetVerb() *verb {
	return &verb{
		name:     "call get",
		synopsis: "show the record of a non-repeatable call",
		args:     "ORGANISATION KEY",
		example:  "figlbctl call get cufflink-ikeja order-2026-118",
		flags:    func(*flag.FlagSet) runFunc { return callGet },
	}
}

func callGet(ctx context.Context, in *invocation) error {
	if err := in.requireArgs(2, "ORGANISATION and KEY"); err != nil {
		return err
	}
	c, err := in.api.GetCall(ctx, structs.CallQuery{Org: in.args[0], Key: in.args[1]})
	return in.printCall(c, err)
}

func callResolveVerb() *verb {
	return &verb{
		name:     "call resolve",
		synopsis: "record the outcome of a call whose outcome is unknown, after checking the target",
		args:     "ORGANISATION KEY finished|not_run",
		example: "# the target has the order: retries get this response\n" +
			"figlbctl call resolve cufflink-ikeja order-2026-118 finished -status 201 -body '{\"order\":118}'\n" +
			"# the target did not receive it: the caller may send it again\n" +
			"figlbctl call resolve cufflink-ikeja order-2026-118 not_run",
		flags: func(fs *flag.FlagSet) runFunc {
			status := fs.Int("status", 200, "HTTP status of the recorded response")
			body := fs.String("body", "", "body of the recorded response")
			return func(ctx context.Context, in *invocation) error { return callResolve(ctx, in, *status, *body) }
		},
	}
}

func callResolve(ctx context.Context, in *invocation, status int, body string) error {
	if err := in.requireArgs(3, "ORGANISATION, KEY and finished|not_run"); err != nil {
		return err
	}
	r := structs.ResolveCall{Key: in.args[1], State: structs.CallState(in.args[2])}
	switch r.State {
	case structs.CallFinished:
		r.Status, r.Body = status, []byte(body)
	case structs.CallNotRun:
	default:
		return usagef("state %q is unknown, use finished or not_run", in.args[2])
	}
	c, err := in.api.ResolveCall(ctx, in.args[0], r)
	return in.printCall(c, err)
}

func (in *invocation) printCall(c *structs.Call, err error) error {
	if err != nil {
		return err
	}
	return in.print(c, []string{"KEY", "SERVICE", "STATE", "TARGET", "STATUS"},
		[][]string{{c.Key, c.Service, string(c.State), c.Target, formatInt(c.Status)}})
}
