package command

import (
	"context"
	"flag"

	"github.com/figlb/figlb/declare"
	"github.com/figlb/figlb/structs"
)

// declarationFiles holds the flags that name the files of a declaration.
type declarationFiles struct {
	base    string
	overlay string
}

func (f *declarationFiles) register(fs *flag.FlagSet) {
	fs.StringVar(&f.base, "base", "", "base file")
	fs.StringVar(&f.overlay, "overlay", "", "the site's overlay")
}

func (f *declarationFiles) load() (*structs.Declaration, error) {
	if f.base == "" || f.overlay == "" {
		return nil, usagef("give the files with -base FILE -overlay FILE")
	}
	return declare.Load(f.base, f.overlay)
}

type validateResult struct {
	Valid    bool     `json:"valid"`
	Objects  int      `json:"objects"`
	Warnings []string `json:"warnings,omitempty"`
}

func validateVerb() *verb {
	return &verb{
		name:     "validate",
		synopsis: "check a declaration without contacting the site",
		example:  "figlbctl validate -base base.ini -overlay ng-south.ini",
		local:    true,
		flags: func(fs *flag.FlagSet) runFunc {
			f := &declarationFiles{}
			f.register(fs)
			return func(_ context.Context, in *invocation) error { return validate(in, f) }
		},
	}
}

func validate(in *invocation, f *declarationFiles) error {
	if err := in.rejectArgs(); err != nil {
		return err
	}
	d, err := f.load()
	if err != nil {
		return err
	}
	r := validateResult{Valid: true, Objects: len(declare.Diff(nil, d)), Warnings: declare.Warnings(d)}
	var rows [][]string
	for _, w := range r.Warnings {
		rows = append(rows, []string{"warning", w})
	}
	rows = append(rows, []string{"valid", formatInt(r.Objects) + " objects"})
	return in.print(r, []string{"RESULT", "DETAIL"}, rows)
}
