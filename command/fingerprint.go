package command

import (
	"context"
	"flag"

	"github.com/figlb/figlb/structs"
)

func fingerprintListVerb() *verb {
	return &verb{
		name:     "fingerprint list",
		synopsis: "list requests that are refused because they crash targets",
		example:  "figlbctl fingerprint list",
		flags: func(*flag.FlagSet) runFunc {
			return func(ctx context.Context, in *invocation) error { return listKind(ctx, in, structs.KindFingerprint) }
		},
	}
}

func fingerprintLiftVerb() *verb {
	return &verb{
		name:     "fingerprint lift",
		synopsis: "end the quarantine of requests with a digest early",
		args:     "DIGEST",
		example:  "figlbctl fingerprint lift 9f86d081884c7d65",
		flags:    func(*flag.FlagSet) runFunc { return fingerprintLift },
	}
}

func fingerprintLift(ctx context.Context, in *invocation) error {
	if err := in.requireArgs(1, "DIGEST"); err != nil {
		return err
	}
	reply, err := in.api.Config(ctx, in.configCommand(structs.ConfigCommand{
		LiftFingerprint: &structs.LiftFingerprint{Digest: in.args[0]},
	}))
	return in.printRevision(reply, err)
}
