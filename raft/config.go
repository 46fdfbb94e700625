package raft

import (
	"slices"

	"github.com/pkg/errors"
)

// Member is one member of a configuration. A member that is no voter is a learner.
type Member struct {
	Peer  Peer
	Voter bool
}

// Config is the membership of a group. A configuration entry holds the whole new
// membership and is in force from the moment it is appended.
type Config struct {
	Members []Member
	// Removed lists incarnations that an operator removed; they are not added again.
	Removed []Peer
}

// Find returns the member with the given identity.
func (c Config) Find(p Peer) (Member, bool) {
	for _, m := range c.Members {
		if m.Peer == p {
			return m, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether exactly this incarnation is a voter.
func (c Config) IsVoter(p Peer) bool {
	m, ok := c.Find(p)
	return ok && m.Voter
}

// Voters returns the voters in configuration order.
func (c Config) Voters() []Peer {
	var out []Peer
	for _, m := range c.Members {
		if m.Voter {
			out = append(out, m.Peer)
		}
	}
	return out
}

// Quorum returns the number of voters that form a majority.
func (c Config) Quorum() int { return len(c.Voters())/2 + 1 }

// With returns a copy in which p has the given role.
func (c Config) With(p Peer, voter bool) Config {
	n := c.Without(p)
	n.Members = append(n.Members, Member{Peer: p, Voter: voter})
	return n
}

// Without returns a copy that does not contain p.
func (c Config) Without(p Peer) Config {
	n := Config{Removed: slices.Clone(c.Removed)}
	for _, m := range c.Members {
		if m.Peer != p {
			n.Members = append(n.Members, m)
		}
	}
	return n
}

// WithRemoved returns a copy without p that also records p as removed by an operator.
func (c Config) WithRemoved(p Peer) Config {
	n := c.Without(p)
	if !slices.Contains(n.Removed, p) {
		n.Removed = append(n.Removed, p)
	}
	return n
}

// voterDelta counts the voters that are in exactly one of two configurations.
func voterDelta(a, b Config) int {
	n := 0
	for _, p := range a.Voters() {
		if !b.IsVoter(p) {
			n++
		}
	}
	for _, p := range b.Voters() {
		if !a.IsVoter(p) {
			n++
		}
	}
	return n
}

// configAt is a configuration and the index of its entry.
type configAt struct {
	index  uint64
	config Config
}

func (c *Core) configAt() configAt { return c.configs[len(c.configs)-1] }

// config returns the configuration in force: the last one in the log, committed or not.
func (c *Core) config() Config { return c.configAt().config }

// configFor returns the configuration in force at a log index.
func (c *Core) configFor(index uint64) Config {
	for i := len(c.configs) - 1; i > 0; i-- {
		if c.configs[i].index <= index {
			return c.configs[i].config
		}
	}
	return c.configs[0].config
}

// trackConfigs records the configuration entries among newly appended entries.
func (c *Core) trackConfigs(es []Entry) {
	for len(c.configs) > 1 && c.configAt().index >= es[0].Index {
		c.configs = c.configs[:len(c.configs)-1]
	}
	for _, e := range es {
		if e.Kind != EntryConfig {
			continue
		}
		var cfg Config
		if err := Decode(e.Data, &cfg); err != nil {
			panic(errors.Wrapf(err, "configuration entry %d", e.Index))
		}
		c.configs = append(c.configs, configAt{index: e.Index, config: cfg})
	}
}

// Errors of ProposeConfig.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrConfigPending = errors.New("another membership change is not committed yet; retry later")
	ErrConfigInvalid = errors.New("a membership change adds or removes one voter at most and leaves one")
)

// ProposeConfig appends a new membership. The voters differ by one at most, because then
// every majority of the old voters shares a member with every majority of the new ones.
// The preceding change and an entry of the leader's own term must be committed.
func (c *Core) ProposeConfig(now Time, cfg Config) error {
	c.advance(now)
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.configAt().index > c.commit || c.commit < c.termStart {
		return ErrConfigPending
	}
	if len(cfg.Voters()) == 0 || voterDelta(c.config(), cfg) > 1 {
		return ErrConfigInvalid
	}
	data, err := Encode(cfg)
	if err != nil {
		return err
	}
	c.appendAsLeader([]Entry{{Kind: EntryConfig, Data: data}})
	return nil
}
