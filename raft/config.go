package raft

import (
	"slices"

	"github.com/pkg/errors"
)

// Member is one member of a configuration. A member that is not a voter is a learner: it
// receives committed entries but does not count towards quorums.
type Member struct {
	Peer  Peer
	Voter bool
}

// Config is the membership of a group. A configuration entry holds the complete new
// membership, which takes effect as soon as the entry is appended.
type Config struct {
	Members []Member
	// Removed lists the incarnations that an operator has removed. They must not be added
	// again.
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

// IsVoter reports whether p is a voter. Another incarnation of the same member is not p.
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

// With returns a copy of the configuration in which p is a voter or a learner, whether or
// not p was a member before.
func (c Config) With(p Peer, voter bool) Config {
	n := c.Without(p)
	n.Members = append(n.Members, Member{Peer: p, Voter: voter})
	return n
}

// Without returns a copy of the configuration that does not contain p.
func (c Config) Without(p Peer) Config {
	n := Config{Removed: slices.Clone(c.Removed)}
	for _, m := range c.Members {
		if m.Peer != p {
			n.Members = append(n.Members, m)
		}
	}
	return n
}

// WithRemoved returns a copy of the configuration that does not contain p and records p as
// removed by an operator.
func (c Config) WithRemoved(p Peer) Config {
	n := c.Without(p)
	if !slices.Contains(n.Removed, p) {
		n.Removed = append(n.Removed, p)
	}
	return n
}

// voterDelta returns the number of voters that are in exactly one of the two configurations.
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

// indexedConfig is a configuration and the index of the log entry that introduced it.
type indexedConfig struct {
	index  uint64
	config Config
}

// latestConfig returns the last configuration in the log, committed or not.
func (c *Core) latestConfig() indexedConfig { return c.configs[len(c.configs)-1] }

// config returns the active configuration: the last one in the log, committed or not.
func (c *Core) config() Config { return c.latestConfig().config }

// configFor returns the configuration that is active at a log index.
func (c *Core) configFor(index uint64) Config {
	for i := len(c.configs) - 1; i > 0; i-- {
		if c.configs[i].index <= index {
			return c.configs[i].config
		}
	}
	return c.configs[0].config
}

// trackConfigs records the configurations among the appended entries es, and forgets those
// whose entries es has replaced.
func (c *Core) trackConfigs(es []Entry) {
	for len(c.configs) > 1 && c.latestConfig().index >= es[0].Index {
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
		c.configs = append(c.configs, indexedConfig{index: e.Index, config: cfg})
	}
}

// Errors returned by ProposeConfig.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrConfigPending = errors.New("another membership change is not committed yet; retry later")
	ErrConfigInvalid = errors.New("a membership change may add or remove at most one voter and must leave at least one")
)

// ProposeConfig appends a configuration entry with a new membership. The new membership may
// differ from the active one by at most one voter: then every majority of the old voters
// overlaps every majority of the new voters. The previous membership change and an entry of
// the leader's own term must already be committed, otherwise it returns ErrConfigPending.
func (c *Core) ProposeConfig(now Time, cfg Config) error {
	c.advanceClock(now)
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.latestConfig().index > c.commit || c.commit < c.termStart {
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
