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
	if err := in.noArgs(); err != nil {
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
			rows = append(rows, []string{m.ID, m.Zone, itoa(g.Group), itoa(g.Term), g.Leader, itoa(g.Applied),
				strings.Join(markOld(g, g.Voters, members), ","), strings.Join(g.Learners, ",")})
		}
	}
	for addr, err := range failed {
		rows = append(rows, []string{addr, "", "", "", "", "", "unreachable: " + err.Error(), ""})
	}
	return in.print(list, []string{"MEMBER", "ZONE", "GROUP", "TERM", "LEADER", "APPLIED", "VOTERS", "LEARNERS"}, rows)
}

// markOld marks voters that run under another incarnation: they are not repaired yet.
func markOld(g structs.GroupStatus, ids []string, members map[string]structs.MemberStatus) []string {
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
		synopsis: "remove a state member that does not come back",
		args:     "ID",
		example:  "figlbctl member remove state-3",
		flags:    func(*flag.FlagSet) runFunc { return memberRemove },
	}
}

func memberRemove(ctx context.Context, in *invocation) error {
	if err := in.needArgs(1, "ID"); err != nil {
		return err
	}
	if err := in.api.RemoveMember(ctx, in.args[0]); err != nil {
		return err
	}
	return in.print(map[string]string{"removed": in.args[0]}, []string{"REMOVED"}, [][]string{{in.args[0]}})
}
