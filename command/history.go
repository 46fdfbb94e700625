package command

import (
	"context"
	"flag"
	"time"

	"github.com/figlb/figlb/structs"
)

func historyVerb() *verb {
	return &verb{
		name:     "history",
		synopsis: "list accepted revisions",
		example:  "figlbctl history",
		flags:    func(*flag.FlagSet) runFunc { return history },
	}
}

func history(ctx context.Context, in *invocation) error {
	if err := in.rejectArgs(); err != nil {
		return err
	}
	reply, err := in.api.QueryConfig(ctx, structs.ConfigQuery{Kinds: []structs.Kind{structs.KindSite}, History: true})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, h := range reply.History {
		rollback := ""
		if h.HasDeclaration {
			rollback = "yes"
		}
		at := time.Unix(h.AcceptedAt, 0).UTC().Format(time.RFC3339)
		rows = append(rows, []string{formatInt(h.Revision), at, h.Author, h.Op, rollback, h.Note})
	}
	return in.print(reply.History, []string{"REVISION", "ACCEPTED", "AUTHOR", "CHANGE", "ROLLBACK", "NOTE"}, rows)
}
