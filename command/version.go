package command

import (
	"context"
	"flag"

	"github.com/figlb/figlb/structs"
)

func versionVerb() *verb {
	return &verb{
		name:     "version",
		synopsis: "print the version",
		example:  "figlbctl version",
		local:    true,
		flags: func(*flag.FlagSet) runFunc {
			return func(_ context.Context, in *invocation) error {
				return in.print(map[string]string{"version": structs.Version}, []string{"VERSION"}, [][]string{{structs.Version}})
			}
		},
	}
}
