package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/stateclient"
)

const (
	members     = 3
	callTimeout = 10 * time.Second
	// settleTime gives a new site time to elect leaders, start schedulers and read reports.
	settleTime = 3 * time.Second
)

// site is a running site with a client of its state members.
type site struct {
	*testsite.Site
	client *stateclient.Client
	groups int
}

// start starts a site with three state members and waits for settleTime.
func (b *bench) start(o testsite.Options) (*site, error) {
	o.Bin, o.Members = b.bin, members
	dir, err := os.MkdirTemp(b.dir, "site")
	if err != nil {
		return nil, err
	}
	o.Dir = dir
	if o.Groups == 0 {
		o.Groups = 2
	}
	if o.Engines == 0 {
		o.Engines = 1
	}
	s, err := testsite.Start(o)
	if err != nil {
		return nil, err
	}
	client, err := stateclient.New(s.MemberAddrs, o.Groups, nil)
	if err != nil {
		s.Close()
		return nil, err
	}
	time.Sleep(settleTime)
	return &site{Site: s, client: client, groups: o.Groups}, nil
}

func (s *site) close() {
	s.client.Close()
	s.Close()
}

// key grants a key to the default organisation and waits until all entries accept it.
func (s *site) key() (string, error) {
	key, _, err := s.GrantKey("acme")
	if err != nil {
		return "", err
	}
	return key, s.WaitKey(key, callTimeout)
}

// roles returns a function that describes which groups a member leads.
func (s *site) roles() func(name string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	led := map[string][]string{}
	up, _ := s.client.Members(ctx)
	for _, m := range up {
		for _, g := range m.Groups {
			if g.Leader == m.ID {
				led[m.ID] = append(led[m.ID], fmt.Sprint(g.Group))
			}
		}
	}
	return func(name string) string {
		if len(led[name]) == 0 {
			return ""
		}
		sort.Strings(led[name])
		return "leads " + strings.Join(led[name], ",")
	}
}

// dataBytes returns the size of a member's data directory.
func (s *site) dataBytes(member int) int64 {
	var n int64
	_ = filepath.WalkDir(s.DataDir(member), func(_ string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil
		}
		if info, err := d.Info(); err == nil {
			n += info.Size()
		}
		return nil
	})
	return n
}

// applied returns the highest applied index of each group.
func (s *site) applied() map[uint32]uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	out := map[uint32]uint64{}
	up, _ := s.client.Members(ctx)
	for _, m := range up {
		for _, g := range m.Groups {
			out[g.Group] = max(out[g.Group], g.Applied)
		}
	}
	return out
}

// checkCaughtUp returns nil if a member is a voter of each group and has applied each group
// at least up to the index in want.
func (s *site) checkCaughtUp(member int, want map[uint32]uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	up, _ := s.client.Members(ctx)
	m, ok := up[s.MemberAddrs[member]]
	if !ok || len(m.Groups) != len(want) {
		return errors.New("the member does not answer or has not joined")
	}
	for _, g := range m.Groups {
		if g.Applied < want[g.Group] || g.Incarnations[m.ID] != m.Incarnation || !slices.Contains(g.Voters, m.ID) {
			return errors.Errorf("group %d has applied %d of %d", g.Group, g.Applied, want[g.Group])
		}
	}
	return nil
}
