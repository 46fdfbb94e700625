package command

import (
	"context"
	"flag"
	"sort"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/structs"
)

type statusResult struct {
	Revision uint64                 `json:"revision"`
	Members  []structs.MemberStatus `json:"members"`
	// Unreachable holds the error for each member that did not respond, by address.
	Unreachable map[string]string      `json:"unreachable,omitempty"`
	Entries     []structs.EntryInfo    `json:"entries"`
	Targets     []structs.TargetStatus `json:"targets"`
}

func statusVerb() *verb {
	return &verb{
		name:     "status",
		synopsis: "show members, entries and targets",
		example:  "figlbctl status\nfiglbctl status -output json",
		flags:    func(*flag.FlagSet) runFunc { return status },
	}
}

func status(ctx context.Context, in *invocation) error {
	if err := in.rejectArgs(); err != nil {
		return err
	}
	r := statusResult{Unreachable: map[string]string{}}
	members, failed := in.api.Members(ctx)
	for _, m := range members {
		r.Members = append(r.Members, m)
	}
	sort.Slice(r.Members, func(i, j int) bool { return r.Members[i].ID < r.Members[j].ID })
	for addr, err := range failed {
		r.Unreachable[addr] = err.Error()
	}
	conf, confErr := in.api.QueryConfig(ctx, structs.ConfigQuery{Kinds: []structs.Kind{structs.KindSite}})
	if confErr == nil {
		r.Revision, r.Entries = conf.Revision, conf.Entries
	}
	targets, targetErr := in.api.Targets(ctx)
	r.Targets = targets
	if err := in.print(r, []string{"WHAT", "NAME", "ZONE", "STATE", "DETAIL"}, statusRows(&r)); err != nil {
		return err
	}
	if confErr != nil {
		return errors.Wrap(confErr, "read configuration")
	}
	return errors.Wrap(targetErr, "read target status from the schedulers")
}

func statusRows(r *statusResult) [][]string {
	var rows [][]string
	for _, m := range r.Members {
		leads := 0
		for _, g := range m.Groups {
			if g.Leader == m.ID {
				leads++
			}
		}
		rows = append(rows, []string{"member", m.ID, m.Zone, "up", "leads " + formatInt(leads) + " of " + formatInt(len(m.Groups)) + " groups"})
	}
	for addr, err := range r.Unreachable {
		rows = append(rows, []string{"member", addr, "", "unreachable", err})
	}
	for _, e := range r.Entries {
		rows = append(rows, []string{"entry", e.ID, e.Zone, entryState(e), "revision " + formatInt(e.Revision)})
	}
	for _, t := range r.Targets {
		rows = append(rows, []string{"target", t.Name, t.Zone, t.State, formatInt(t.InUse) + " of " + formatInt(t.Limit) + " slots"})
	}
	return append(rows, []string{"config", "revision " + formatInt(r.Revision), "", "", ""})
}

func entryState(e structs.EntryInfo) string {
	if e.Draining {
		return "draining"
	}
	return "up"
}
