package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/raft"
	"github.com/figlb/figlb/settings"
)

// Discovery configures a dynamic membership. A member's id is its address, so that the
// replicated configuration of a group contains the addresses of its members. A member
// discovers others from its seeds, from the hello calls that it receives and from the member
// lists in hello replies.
type Discovery struct {
	// MaxVoters is the maximum number of voters of a group. Further members are standbys,
	// which replace voters that do not answer.
	MaxVoters int
	// ReplaceAfter is the time without an answer after which a voter is replaced by a
	// standby.
	ReplaceAfter time.Duration
}

// removePeerAfter is the time without an answer after which a member that belongs to no group
// is removed from the peers.
const removePeerAfter = 15 * time.Second

func (d *Discovery) validate() error {
	if d.MaxVoters < 1 || d.ReplaceAfter <= 0 {
		return errors.New("discovery requires MaxVoters and ReplaceAfter above 0")
	}
	return nil
}

// peerSet is the set of the other members that this member communicates with.
type peerSet struct {
	mu   sync.RWMutex
	byID map[string]*peer
}

func (s *peerSet) get(id string) *peer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[id]
}

func (s *peerSet) all() []*peer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*peer, 0, len(s.byID))
	for _, p := range s.byID {
		out = append(out, p)
	}
	return out
}

// add stores the peer unless one with its id exists.
func (s *peerSet) add(p *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[string]*peer{}
	}
	if s.byID[p.ID] != nil {
		return false
	}
	s.byID[p.ID] = p
	return true
}

func (s *peerSet) remove(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[p.ID] == p {
		delete(s.byID, p.ID)
	}
}

// addPeer starts to send messages and hello calls to a member.
func (r *Replica) addPeer(m settings.Member) {
	if m.ID == r.cfg.ID || r.ctx.Err() != nil {
		return
	}
	p := newPeer(m, r.cfg.TLS, r.log)
	ctx, stop := context.WithCancel(r.ctx)
	p.stop = stop
	if !r.peers.add(p) {
		stop()
		return
	}
	r.spawn(func(context.Context) { p.run(ctx, r.clusterID) })
	r.spawn(func(context.Context) { r.probe(ctx, p) })
}

// addDiscovered adds a member that was discovered. It does nothing without discovery.
func (r *Replica) addDiscovered(id string) {
	if r.cfg.Discovery == nil || id == "" || r.peers.get(id) != nil {
		return
	}
	r.addPeer(settings.Member{ID: id, Address: id})
}

// peerFor returns the peer of a member. With discovery, an unknown member is added first.
func (r *Replica) peerFor(id string) *peer {
	if p := r.peers.get(id); p != nil {
		return p
	}
	r.addDiscovered(id)
	return r.peers.get(id)
}

// addStoredMembers adds the members in the stored configurations of the groups.
func (r *Replica) addStoredMembers(inc *incarnation) {
	for _, g := range inc.groups {
		st := g.status.Load()
		for _, m := range st.Config.Members {
			r.addDiscovered(m.Peer.ID)
		}
	}
}

// knownMembers lists the seeds and the members of all groups. It returns nil without
// discovery.
func (r *Replica) knownMembers(inc *incarnation) []string {
	if r.cfg.Discovery == nil {
		return nil
	}
	out := []string{}
	add := func(id string) {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	for _, m := range r.cfg.Members {
		add(m.ID)
	}
	for _, g := range inc.groups {
		for _, m := range g.status.Load().Config.Members {
			add(m.Peer.ID)
		}
	}
	return out
}

// removeIfSilent removes a discovered member from the peers if it does not answer and is in
// no group. It returns whether it removed the member.
func (r *Replica) removeIfSilent(p *peer) bool {
	if r.cfg.Discovery == nil || time.Since(p.lastSeen()) < removePeerAfter {
		return false
	}
	inc := r.incarnation()
	if inc == nil || slices.Contains(r.knownMembers(inc), p.ID) {
		return false
	}
	r.peers.remove(p)
	p.stop()
	p.close()
	r.log.Info("peer removed: it does not answer and is in no group", "peer", p.ID, "silent", time.Since(p.lastSeen()).String())
	return true
}

// lastSeen returns the time of the last hello reply, or the time at which the peer was added
// if there was none.
func (p *peer) lastSeen() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastHelloAt.IsZero() {
		return p.addedAt
	}
	return p.lastHelloAt
}

// Members returns the addresses of the members of all groups and of the seeds.
func (r *Replica) Members() []string {
	inc := r.incarnation()
	if inc == nil {
		return nil
	}
	return r.knownMembers(inc)
}

// VoterCount returns the number of voters of a group as this member sees it.
func (r *Replica) VoterCount(group uint32) int {
	g, err := r.group(group)
	if err != nil {
		return 0
	}
	return len(g.status.Load().Config.Voters())
}

// candidates returns the ids of the members that may be added to the group. With discovery,
// these are the members that already have an incarnation in the group and as many others as
// there are free places.
func (mp *membershipPlanner) candidates() []string {
	r := mp.g.inc.r
	var out []string
	if r.cfg.Discovery == nil {
		for _, m := range r.cfg.Members {
			out = append(out, m.ID)
		}
		return out
	}
	freePlaces := r.cfg.Discovery.MaxVoters - mp.responsiveMembers()
	for _, p := range r.peers.all() {
		if mp.hasMemberID(p.ID) {
			out = append(out, p.ID)
			continue
		}
		if current, ok := mp.reportedPeer(p.ID); ok && freePlaces > 0 && !mp.isMember(current) {
			out = append(out, p.ID)
			freePlaces--
		}
	}
	return out
}

// hasMemberID reports whether any incarnation of the member is in the group.
func (mp *membershipPlanner) hasMemberID(id string) bool {
	return slices.ContainsFunc(mp.status.Config.Members, func(m raft.Member) bool { return m.Peer.ID == id })
}

// isMember reports whether this incarnation of a member is in the group.
func (mp *membershipPlanner) isMember(p raft.Peer) bool {
	_, in := mp.status.Config.Find(p)
	return in
}

// responsiveMembers counts the members of the group that have answered within ReplaceAfter.
func (mp *membershipPlanner) responsiveMembers() int {
	n := 0
	for _, m := range mp.status.Config.Members {
		if mp.sinceLastContact(m.Peer) < mp.g.inc.r.cfg.Discovery.ReplaceAfter {
			n++
		}
	}
	return n
}

// hasMaxVoters reports whether the group has MaxVoters voters. It is false without discovery.
func (mp *membershipPlanner) hasMaxVoters() bool {
	d := mp.g.inc.r.cfg.Discovery
	return d != nil && len(mp.status.Config.Voters()) >= d.MaxVoters
}

// planReplacement proposes to remove a voter that does not answer, to make room for a standby
// that has caught up. It does so only if the group has MaxVoters voters and the remaining
// reachable voters form a quorum.
func (mp *membershipPlanner) planReplacement() (raft.Config, string, bool) {
	if !mp.hasMaxVoters() {
		return raft.Config{}, "", false
	}
	for _, p := range mp.status.Config.Voters() {
		if mp.sinceLastContact(p) < mp.g.inc.r.cfg.Discovery.ReplaceAfter {
			continue
		}
		cfg := mp.status.Config.Without(p)
		if mp.reachableVoters(cfg) >= cfg.Quorum() {
			return cfg, "replace unreachable " + p.ID, true
		}
	}
	return raft.Config{}, "", false
}
