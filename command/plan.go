package command

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/figlb/figlb/declare"
	"github.com/figlb/figlb/structs"
)

type planResult struct {
	Revision uint64           `json:"revision"`
	Changes  []declare.Change `json:"changes"`
	Warnings []string         `json:"warnings,omitempty"`
}

func planVerb() *verb {
	return &verb{
		name:     "plan",
		synopsis: "show what applying a declaration would change",
		example:  "figlbctl plan -base base.ini -overlay ng-south.ini",
		flags: func(fs *flag.FlagSet) runFunc {
			f := &declarationFiles{}
			f.register(fs)
			return func(ctx context.Context, in *invocation) error { return plan(ctx, in, f) }
		},
	}
}

func plan(ctx context.Context, in *invocation, f *declarationFiles) error {
	if err := in.rejectArgs(); err != nil {
		return err
	}
	d, err := f.load()
	if err != nil {
		return err
	}
	r, err := computePlan(ctx, in, d)
	if err != nil {
		return err
	}
	if err := printChanges(in, r, r.Changes, r.Warnings); err != nil {
		return err
	}
	if in.common.Output == "table" {
		fmt.Fprintf(in.env.Stdout, "planned from revision %d; apply with -from %d\n", r.Revision, r.Revision)
	}
	return nil
}

func computePlan(ctx context.Context, in *invocation, d *structs.Declaration) (*planResult, error) {
	cur, err := in.api.QueryConfig(ctx, structs.ConfigQuery{DeclarationOf: currentDeclaration})
	if err != nil {
		return nil, err
	}
	return &planResult{Revision: cur.Revision, Changes: declare.Diff(cur.Declaration, d), Warnings: declare.Warnings(d)}, nil
}

// currentDeclaration is the value of ConfigQuery.DeclarationOf that selects the declaration
// in force.
const currentDeclaration = ^uint64(0)

func printChanges(in *invocation, v any, changes []declare.Change, warnings []string) error {
	var rows [][]string
	for _, c := range changes {
		rows = append(rows, []string{string(c.Action), string(c.Kind), c.Name, describeFields(c.Fields)})
	}
	if len(changes) == 0 {
		rows = append(rows, []string{"none", "", "", ""})
	}
	for _, w := range warnings {
		rows = append(rows, []string{"warning", "", "", w})
	}
	return in.print(v, []string{"ACTION", "KIND", "NAME", "FIELDS"}, rows)
}

func describeFields(fields []declare.FieldChange) string {
	var parts []string
	for _, f := range fields {
		parts = append(parts, fmt.Sprintf("%s: %v -> %v", f.Field, f.Old, f.New))
	}
	return strings.Join(parts, ", ")
}
