package settings

import (
	"strings"

	"github.com/pkg/errors"
)

// Member is a member of the state cluster.
type Member struct {
	ID      string
	Address string // ip:port
}

// ParseMembers parses items of the form "id=ip:port". It rejects repeated ids and does not
// validate the addresses.
func ParseMembers(items []string) ([]Member, error) {
	var out []Member
	seen := map[string]bool{}
	for _, it := range items {
		id, addr, ok := strings.Cut(it, "=")
		id, addr = strings.TrimSpace(id), strings.TrimSpace(addr)
		if !ok || id == "" || addr == "" {
			return nil, errors.Errorf("member %q is not id=ip:port", it)
		}
		if seen[id] {
			return nil, errors.Errorf("member %q is listed twice", id)
		}
		seen[id] = true
		out = append(out, Member{ID: id, Address: addr})
	}
	return out, nil
}
