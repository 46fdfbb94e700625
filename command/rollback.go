package command

import (
	"context"
	"flag"

	"github.com/figlb/figlb/structs"
)

func rollbackVerb() *verb {
	return &verb{
		name:     "rollback",
		synopsis: "apply an earlier revision's declaration as a new revision",
		example:  "figlbctl history\nfiglbctl rollback -from 14 -to 12",
		flags: func(fs *flag.FlagSet) runFunc {
			from := fs.Int64("from", -1, "current revision (see 'figlbctl history')")
			to := fs.Int64("to", -1, "revision whose declaration is applied again")
			return func(ctx context.Context, in *invocation) error { return rollback(ctx, in, *from, *to) }
		},
	}
}

func rollback(ctx context.Context, in *invocation, from, to int64) error {
	if err := in.rejectArgs(); err != nil {
		return err
	}
	if from < 0 || to < 0 {
		return usagef("give the revisions with -from N and -to N")
	}
	reply, err := in.api.Config(ctx, in.configCommand(structs.ConfigCommand{
		Rollback: &structs.RollbackConfig{PlannedFrom: uint64(from), To: uint64(to)},
	}))
	return in.printRevision(reply, err)
}
