package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/google/uuid"
)

// writeTable aligns the tab-separated columns that fill writes and writes the table to out in
// a single call. tabwriter itself writes cell by cell, so a reader that closes the pipe early,
// such as head, would terminate the command with SIGPIPE.
func writeTable(out io.Writer, fill func(w io.Writer)) error {
	var text bytes.Buffer
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	fill(w)
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := out.Write(text.Bytes())
	return err
}

// print writes v as JSON or the rows as a table, depending on the output flag.
func (in *invocation) print(v any, header []string, rows [][]string) error {
	if in.common.Output == "json" {
		enc := json.NewEncoder(in.env.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	return writeTable(in.env.Stdout, func(w io.Writer) {
		fmt.Fprintln(w, strings.Join(header, "\t"))
		for _, r := range rows {
			fmt.Fprintln(w, strings.Join(r, "\t"))
		}
	})
}

// requestID returns the request id given by the flag. Without one it generates an id and
// keeps it, so that a failure message can name it.
func (in *invocation) requestID() string {
	if in.common.RequestID == "" {
		in.common.RequestID = uuid.NewString()
	}
	return in.common.RequestID
}

func (in *invocation) requireArgs(n int, names string) error {
	if len(in.args) != n {
		return usagef("expected %s", names)
	}
	return nil
}

func (in *invocation) rejectArgs() error {
	if len(in.args) != 0 {
		return usagef("unexpected argument %q", in.args[0])
	}
	return nil
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func formatInt[T ~int | ~int64 | ~uint64 | ~uint32](n T) string { return fmt.Sprint(n) }
