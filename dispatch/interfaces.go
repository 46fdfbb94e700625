package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/structs"
)

// Leadership tells whether this member leads a group.
type Leadership interface {
	// IsLeader reports whether this member is the leader and holds an unexpired lease.
	IsLeader() bool
	// Term returns the group's current term.
	Term() uint64
}

// Groups gives access to the organisation groups, whose leaders schedule the pools.
type Groups interface {
	// Count returns the number of organisation groups. They are numbered from 1.
	Count() int
	// Leadership returns this member's leadership of a group.
	Leadership(group uint32) Leadership
}

// Topology is the part of the configuration that schedulers use. It is immutable.
type Topology struct {
	Targets []structs.Target
	Hosts   []structs.Host
	Drains  []structs.Drain
}

// ConfigSource provides the configuration as known to the member's replica of group 0.
type ConfigSource interface {
	// Topology returns the current topology. The pointer changes whenever the topology
	// does.
	Topology() *Topology
	// Age returns the time since the replica last confirmed that it is up to date.
	Age() time.Duration
	// LiveEntries returns the incarnations of the live entries. It returns false if they
	// are not known.
	LiveEntries() ([]string, bool)
}

// PoolGroup returns the group whose leader schedules a pool.
func PoolGroup(pool string, groups int) uint32 {
	return 1 + uint32(xxhash.Sum64String(pool)%uint64(groups))
}

// nodeGroups implements Groups with a replica.Node.
type nodeGroups struct {
	node  replica.Node
	count int
}

// NodeGroups returns the organisation groups of a node, of which there are count.
func NodeGroups(node replica.Node, count int) Groups { return nodeGroups{node: node, count: count} }

func (n nodeGroups) Count() int { return n.count }

func (n nodeGroups) Leadership(group uint32) Leadership {
	return nodeLeadership{node: n.node, group: group}
}

type nodeLeadership struct {
	node  replica.Node
	group uint32
}

func (l nodeLeadership) IsLeader() bool { return l.node.IsLeader(l.group) }

func (l nodeLeadership) Term() uint64 {
	_, term := l.node.Leader(l.group)
	return term
}
