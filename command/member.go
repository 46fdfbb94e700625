package command

import (
	"context"
	"flag"
	"sort"
	"strings"

	"github.com/figlb/figlb/structs"
)

func memberListVerb() *verb {
	return &verb{
		name:     "member list",
		synopsis: "list state members with their groups",
		example:  "figlbctl member list",
		flags:    func(*flag.FlagSet) runFunc { return memberList },
	}
}

func memberList(ctx context.Context, in *invocation) error {
	if err := in.rejectArgs(); err != nil {
		return err
	}
	members, failed := in.api.Members(ctx)
	list := make([]structs.MemberStatus, 0, len(members))
	for _, m := range members {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	var rows [][]string
	for _, m := range list {
		for _, g := range m.Groups {
			rows = append(rows, []string{m.ID, m.Zone, formatInt(g.Group), formatInt(g.Term), g.Leader, formatInt(g.Applied),
				strings.Join(markOutdated(g, g.Voters, members), ","), strings.Join(g.Learners, ",")})
		}
	}
	for addr, err := range failed {
		rows = append(rows, []string{addr, "", "", "", "", "", "unreachable: " + err.Error(), ""})
	}
	return in.print(list, []string{"MEMBER", "ZONE", "GROUP", "TERM", "LEADER", "APPLIED", "VOTERS", "LEARNERS"}, rows)
}

// markOutdated marks the voters whose incarnation in the group's configuration differs from the
// running one: the group has not replaced the old incarnation yet.
func markOutdated(g structs.GroupStatus, ids []string, members map[string]structs.MemberStatus) []string {
	running := map[string]string{}
	for _, m := range members {
		running[m.ID] = m.Incarnation
	}
	var out []string
	for _, id := range ids {
		if inc := running[id]; inc != "" && inc != g.Incarnations[id] {
			id += "(old)"
		}
		out = append(out, id)
	}
	return out
}

func memberRemoveVerb() *verb {
	return &verb{
		name:     "member remove",
		synopsis: "remove a state member permanently",
		args:     "ID",
		example:  "figlbctl member remove state-3",
		flags:    func(*flag.FlagSet) runFunc { return memberRemove },
	}
}

func memberRemove(ctx context.Context, in *invocation) error {
	if err := in.requireArgs(1, "ID"); err != nil {
		return err
	}
	if err := in.api.RemoveMember(ctx, in.args[0]); err != nil {
		return err
	}
	return in.print(map[string]string{"removed": in.args[0]}, []string{"REMOVED"}, [][]string{{in.args[0]}})
}
