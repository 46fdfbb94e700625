package command

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/google/uuid"
)

// print writes v as JSON, or the rows as a table, as the output flag says.
func (in *invocation) print(v any, header []string, rows [][]string) error {
	if in.common.Output == "json" {
		enc := json.NewEncoder(in.env.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(in.env.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// requestID returns the id of the flag, or a new one.
func (in *invocation) requestID() string {
	if in.common.Request == "" {
		in.common.Request = uuid.NewString()
	}
	return in.common.Request
}

func (in *invocation) needArgs(n int, names string) error {
	if len(in.args) != n {
		return usagef("expected %s", names)
	}
	return nil
}

func (in *invocation) noArgs() error {
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

func itoa[T ~int | ~int64 | ~uint64 | ~uint32](n T) string { return fmt.Sprint(n) }
