package replica

import (
	"crypto/tls"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/wal"
	"github.com/figlb/figlb/wire"
)

// Config configures a Replica. Zero durations and sizes take the defaults.
type Config struct {
	ID   string
	Zone string
	// Members lists all members, this one included. With Discovery set, it lists the seed
	// members.
	Members []settings.Member
	// Discovery makes the membership dynamic. If it is nil, the membership is Members.
	Discovery *Discovery
	DataDir   string
	Groups    map[uint32]StateMachine
	// Server receives the messages of the other members. Start registers its handlers, so
	// it must be called before Server.Serve.
	Server *wire.Server
	TLS    *tls.Config
	// Bootstrap makes a member with an empty directory create the cluster, with itself as
	// the only voter of each group. It waits until a majority of Members, itself included,
	// reports that it belongs to no cluster, and joins instead if one reports a cluster.
	Bootstrap bool
	Log       logr.Logger

	Heartbeat   time.Duration
	ElectionMin time.Duration
	ElectionMax time.Duration
	// VoterTimeout is the time after which an unreachable voter is removed.
	VoterTimeout time.Duration
	// SpreadAfter is the time for which a member leads a group before it transfers leadership
	// to the group's preferred leader, which is chosen by the group's number. 0 disables the
	// transfer.
	SpreadAfter time.Duration
	// HelloInterval is the time between two hello calls to another member.
	HelloInterval time.Duration
	// SnapshotEntries and SnapshotBytes are the entries and bytes applied since the latest
	// snapshot of a group at which the next one is due.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	// RetainEntries is the number of entries that precede the latest snapshot and stay in
	// memory, for followers that lag behind.
	RetainEntries uint64
	SegmentBytes  int64
	// DiskBytes is the size of the disk; 0 means unknown. A snapshot that would not fit
	// beside the previous one and the log is postponed.
	DiskBytes int64
	// FS is the file system of the write-ahead log; tests inject faults through it.
	FS wal.FS
}

// Defaults of the fields of Config.
const (
	defaultHeartbeat       = 50 * time.Millisecond
	defaultElectionMin     = 300 * time.Millisecond
	defaultElectionMax     = 600 * time.Millisecond
	defaultVoterTimeout    = 20 * time.Second
	defaultHelloInterval   = 500 * time.Millisecond
	defaultSnapshotEntries = 5000
	defaultSnapshotBytes   = 32 << 20
	defaultRetainEntries   = 1000
)

const (
	// tickInterval is the interval of core ticks, and so the resolution of timeouts.
	tickInterval = 10 * time.Millisecond
	// leaseMarginDivisor sets the lease margin to ElectionMin / leaseMarginDivisor. A lease
	// ends that much before the election timeout, so clock rates may differ by a tenth.
	leaseMarginDivisor = 10
	// maxAppendBytes bounds the size of the commands in one append message.
	maxAppendBytes = 1 << 20
	// snapshotChunkBytes is the size of a snapshot chunk.
	snapshotChunkBytes = 1 << 20
)

func (c *Config) setDefaults() {
	setDuration(&c.Heartbeat, defaultHeartbeat)
	setDuration(&c.ElectionMin, defaultElectionMin)
	setDuration(&c.ElectionMax, defaultElectionMax)
	setDuration(&c.VoterTimeout, defaultVoterTimeout)
	setDuration(&c.HelloInterval, defaultHelloInterval)
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = defaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	if c.RetainEntries == 0 {
		c.RetainEntries = defaultRetainEntries
	}
}

func setDuration(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

func (c *Config) validate() error {
	if c.Discovery != nil {
		return c.Discovery.validate()
	}
	for _, m := range c.Members {
		if m.ID == c.ID {
			return nil
		}
	}
	return errors.Errorf("member %q is missing from the list of members; add it", c.ID)
}

// preferredLeader returns the id of the member to which SpreadAfter moves the leadership of
// a group: the groups are distributed round-robin over the sorted member ids.
func (c *Config) preferredLeader(group uint32) string {
	ids := make([]string, len(c.Members))
	for i, m := range c.Members {
		ids[i] = m.ID
	}
	slices.Sort(ids)
	return ids[group%uint32(len(ids))]
}

// addressOf returns the address of a member, or "" if it is unknown. With discovery, the id of
// a member is its address.
func (c *Config) addressOf(id string) string {
	if c.Discovery != nil {
		return id
	}
	for _, m := range c.Members {
		if m.ID == id {
			return m.Address
		}
	}
	return ""
}
