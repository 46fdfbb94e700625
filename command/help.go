package command

import (
	"flag"
	"fmt"
	"io"
	"strings"
)

func help(env *Env, args []string) int {
	if len(args) > 1 {
		v, _ := findVerb(args[1:])
		if v == nil {
			fmt.Fprintf(env.Stderr, "figlbctl: unknown command %q; see 'figlbctl help'\n", strings.Join(args[1:], " "))
			return ExitUsage
		}
		return runVerb(env, v, []string{"-h"})
	}
	_ = writeTable(env.Stdout, printVerbs)
	if len(args) == 0 {
		return ExitUsage
	}
	return ExitOK
}

func printVerbs(w io.Writer) {
	fmt.Fprintln(w, "figlbctl operates a figlb site.\n\nUsage: figlbctl COMMAND [flags] [arguments]\n\nCommands:")
	for _, v := range verbs() {
		fmt.Fprintf(w, "  %s\t%s\n", v.name, v.synopsis)
	}
	fmt.Fprintln(w, "\nExit codes: 0 done, 1 failed, 2 usage, 3 conflict with another change,\n4 declaration or settings refused, 5 no answer (the change may be accepted).")
}

func printVerb(w io.Writer, v *verb, fs *flag.FlagSet) {
	fmt.Fprintf(w, "%s\n\nUsage: figlbctl %s [flags] %s\n\nFlags:\n", v.synopsis, v.name, v.args)
	fs.SetOutput(w)
	fs.PrintDefaults()
	fmt.Fprintf(w, "\nExample:\n  %s\n", strings.ReplaceAll(v.example, "\n", "\n  "))
}
