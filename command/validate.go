package command

import (
	"context"
	"flag"

	"github.com/figlb/figlb/declare"
	"github.com/figlb/figlb/structs"
)

// files are the flags that name a declaration.
type files struct {
	base    string
	overlay string
}

func (f *files) register(fs *flag.FlagSet) {
	fs.StringVar(&f.base, "base", "", "base file")
	fs.StringVar(&f.overlay, "overlay", "", "the site's overlay")
}

func (f *files) load() (*structs.Declaration, error) {
	if f.base == "" || f.overlay == "" {
		return nil, usagef("name the files with -base FILE -overlay FILE")
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
			f := &files{}
			f.register(fs)
			return func(_ context.Context, in *invocation) error { return validate(in, f) }
		},
	}
}

func validate(in *invocation, f *files) error {
	if err := in.noArgs(); err != nil {
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
	rows = append(rows, []string{"valid", itoa(r.Objects) + " objects"})
	return in.print(r, []string{"RESULT", "DETAIL"}, rows)
}
