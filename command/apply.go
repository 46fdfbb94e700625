package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/figlb/figlb/structs"
)

func applyVerb() *verb {
	return &verb{
		name:     "apply",
		synopsis: "make a declaration the site's configuration",
		example: "figlbctl plan -base base.ini -overlay ng-south.ini   # prints the revision\n" +
			"figlbctl apply -base base.ini -overlay ng-south.ini -from 12 -note 'two engines in benin'",
		flags: func(fs *flag.FlagSet) runFunc {
			f := &declarationFiles{}
			f.register(fs)
			from := fs.Int64("from", -1, "revision that the change was planned from (see 'figlbctl plan')")
			note := fs.String("note", "", "note recorded in the history")
			return func(ctx context.Context, in *invocation) error { return apply(ctx, in, f, *from, *note) }
		},
	}
}

func apply(ctx context.Context, in *invocation, f *declarationFiles, from int64, note string) error {
	if err := in.rejectArgs(); err != nil {
		return err
	}
	if from < 0 {
		return usagef("give the revision the change was planned from with -from N")
	}
	d, err := f.load()
	if err != nil {
		return err
	}
	reply, err := in.api.Config(ctx, in.configCommand(structs.ConfigCommand{
		Apply: &structs.ApplyConfig{PlannedFrom: uint64(from), Declaration: *d, Note: note},
	}))
	return in.printRevision(reply, err)
}

// configCommand sets the fields that every command to the configuration group carries: the
// request id and the author.
func (in *invocation) configCommand(cmd structs.ConfigCommand) structs.ConfigCommand {
	cmd.RequestID = in.requestID()
	cmd.Author = in.common.Author
	return cmd
}

func (in *invocation) printRevision(reply *structs.ConfigReply, err error) error {
	if err != nil {
		return err
	}
	return in.print(reply, []string{"ACCEPTED"}, [][]string{{fmt.Sprintf("revision %d", reply.Revision)}})
}
