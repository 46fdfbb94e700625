package replica

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/raft"
)

const (
	// manageInterval is the time between two checks for a membership change.
	manageInterval = 100 * time.Millisecond
	// followUpInterval replaces manageInterval after a change. Replacing the incarnation of a
	// member with a wiped disk takes two changes, and between them the group has one voter
	// less.
	followUpInterval = 10 * time.Millisecond
	// maxHelloAge is the age up to which a hello reply identifies the incarnation of a member.
	maxHelloAge = 2 * time.Second
	// maxContactAge is the time since the last contact up to which a member counts as
	// reachable.
	maxContactAge = time.Second
	// maxPromotionLag is the number of entries that a learner may lag behind when it is
	// promoted to a voter.
	maxPromotionLag = 64
	// minVoters is the minimum number of voters that planRemoval leaves in the group.
	minVoters = 3
)

// manageMembers adapts the membership of the groups that this member leads to the configured
// or discovered members that can be reached.
func (inc *incarnation) manageMembers(ctx context.Context) {
	t := time.NewTimer(manageInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		changing := false
		for _, g := range inc.groups {
			if g.view.Load().role != raft.Leader {
				continue
			}
			// An error means that the incarnation is stopping; the next iteration returns.
			changed, _ := withCore(ctx, g, g.manageMembership)
			changing = changing || changed
		}
		t.Reset(manageInterval)
		if changing {
			t.Reset(followUpInterval)
		}
	}
}

// manageMembership proposes the next membership change, if there is one. It returns whether a
// change is in progress.
func (g *group) manageMembership(now raft.Time, core *raft.Core) (changing bool) {
	status := core.Status()
	if status.Role != raft.Leader || status.Commit < status.TermStart {
		return false
	}
	if status.ConfigPending {
		return true
	}
	planner := membershipPlanner{g: g, now: now, status: &status}
	cfg, change, ok := planner.nextChange()
	if !ok {
		planner.transferLeadership(core)
		return false
	}
	err := core.ProposeConfig(now, cfg)
	g.inc.r.log.Info("membership change", "group", g.id, "change", change, "members", describeMembers(cfg), "error", errorText(err))
	return err == nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// describeMembers lists the members with their roles for log lines.
func describeMembers(cfg raft.Config) []string {
	var out []string
	for _, m := range cfg.Members {
		role := "learner"
		if m.Voter {
			role = "voter"
		}
		out = append(out, m.Peer.ID+":"+role)
	}
	return out
}

// membershipPlanner decides on membership changes of one group from the leader's status.
type membershipPlanner struct {
	g      *group
	now    raft.Time
	status *raft.Status
}

// nextChange returns the configuration after the next change, a description of the change for
// the log, and whether there is a change. The plan methods below return the same.
func (mp *membershipPlanner) nextChange() (raft.Config, string, bool) {
	for _, step := range []func() (raft.Config, string, bool){mp.planPromotion, mp.planAdditions, mp.planRemoval} {
		if cfg, change, ok := step(); ok {
			return cfg, change, true
		}
	}
	return raft.Config{}, "", false
}

// reportedPeer returns the incarnation that a member has reported recently, unless it belongs
// to another cluster.
func (mp *membershipPlanner) reportedPeer(id string) (raft.Peer, bool) {
	p := mp.g.inc.r.peers.get(id)
	if p == nil {
		return raft.Peer{}, false
	}
	info, ok := p.recentHello(maxHelloAge)
	ownCluster := mp.g.inc.cluster.Load()
	if !ok || (info.Cluster != 0 && info.Cluster != ownCluster) {
		return raft.Peer{}, false
	}
	return info.Self, true
}

// reachable reports whether the member has answered this leader recently.
func (mp *membershipPlanner) reachable(p raft.Peer) bool {
	return mp.sinceLastContact(p) <= maxContactAge
}

// sinceLastContact returns the time since the member last answered this leader.
func (mp *membershipPlanner) sinceLastContact(p raft.Peer) time.Duration {
	if p == mp.g.inc.self {
		return 0
	}
	return mp.now - mp.status.Progress[p].LastActive
}

// planPromotion makes a learner a voter once it has caught up. An older incarnation of the
// member is removed first: its directory is gone, so the removal loses nothing and never
// increases the quorum. If the group is full, a voter that does not answer is removed first.
func (mp *membershipPlanner) planPromotion() (raft.Config, string, bool) {
	for _, m := range mp.status.Config.Members {
		current, ok := mp.reportedPeer(m.Peer.ID)
		if m.Voter || !ok || current != m.Peer || !mp.caughtUp(m.Peer) {
			continue
		}
		for _, old := range mp.status.Config.Voters() {
			if old.ID == m.Peer.ID {
				return mp.status.Config.Without(old), "remove the old incarnation of " + old.ID, true
			}
		}
		if cfg, change, ok := mp.planReplacement(); ok {
			return cfg, change, true
		}
		if mp.hasMaxVoters() {
			continue
		}
		return mp.status.Config.With(m.Peer, true), "promote " + m.Peer.ID, true
	}
	return raft.Config{}, "", false
}

// caughtUp reports whether a learner is reachable and close enough to the end of the log to
// become a voter.
func (mp *membershipPlanner) caughtUp(p raft.Peer) bool {
	return mp.reachable(p) && mp.status.Progress[p].Match+maxPromotionLag >= mp.status.LastIndex && mp.status.Progress[p].Match > 0
}

// planAdditions adds the candidates that are not in the group as learners.
func (mp *membershipPlanner) planAdditions() (raft.Config, string, bool) {
	cfg := mp.status.Config
	change := "add"
	for _, id := range mp.candidates() {
		current, ok := mp.reportedPeer(id)
		if !ok {
			continue
		}
		_, found := cfg.Find(current)
		if found || slices.Contains(cfg.Removed, current) {
			continue
		}
		cfg = withoutLearners(cfg, id).With(current, false)
		change += " " + id
	}
	return cfg, change, change != "add"
}

// withoutLearners returns the configuration without learners that are incarnations of the
// member.
func withoutLearners(cfg raft.Config, id string) raft.Config {
	for _, old := range cfg.Members {
		if old.Peer.ID == id && !old.Voter {
			cfg = cfg.Without(old.Peer)
		}
	}
	return cfg
}

// planRemoval removes one voter that has not answered for VoterTimeout. The group must have
// more than minVoters voters, and the remaining reachable voters must form a quorum.
func (mp *membershipPlanner) planRemoval() (raft.Config, string, bool) {
	voters := mp.status.Config.Voters()
	if len(voters) <= minVoters {
		return raft.Config{}, "", false
	}
	for _, p := range voters {
		if mp.sinceLastContact(p) < mp.g.inc.r.cfg.VoterTimeout {
			continue
		}
		cfg := mp.status.Config.Without(p)
		if mp.reachableVoters(cfg) >= cfg.Quorum() {
			return cfg, "remove unreachable " + p.ID, true
		}
	}
	return raft.Config{}, "", false
}

// transferLeadership transfers leadership to the group's preferred leader once SpreadAfter has
// passed, so that the leaders of the groups are distributed over the members. The core starts
// a transfer only while no command or read is in flight.
func (mp *membershipPlanner) transferLeadership(core *raft.Core) {
	cfg := &mp.g.inc.r.cfg
	if cfg.SpreadAfter == 0 || mp.now-mp.g.ledSince < cfg.SpreadAfter {
		return
	}
	to, ok := mp.reportedPeer(cfg.preferredLeader(mp.g.id))
	if ok && mp.status.Config.IsVoter(to) && mp.reachable(to) {
		core.Transfer(mp.now, to)
	}
}

// reachableVoters counts the voters of a configuration that are reachable.
func (mp *membershipPlanner) reachableVoters(cfg raft.Config) int {
	n := 0
	for _, p := range cfg.Voters() {
		if mp.reachable(p) {
			n++
		}
	}
	return n
}

// removeRequest asks the leader of a group to remove a member.
type removeRequest struct {
	Group  uint32
	Member string
}

func (r *Replica) handleRemove(ctx context.Context, body []byte) (any, error) {
	var req removeRequest
	if err := msgpack.Unmarshal(body, &req); err != nil {
		return nil, errs.New(errs.BadRequest, "upgrade the peer", "remove: %v", err)
	}
	g, err := r.group(req.Group)
	if err != nil {
		return nil, err
	}
	return struct{}{}, g.remove(ctx, req.Member)
}

// RemoveMember removes a member from all groups. The removed incarnation is not added again;
// the member can rejoin only with an empty data directory. RemoveMember returns once all
// groups have committed the removal, and may be called again after an error.
func (r *Replica) RemoveMember(ctx context.Context, id string) error {
	for group := range r.cfg.Groups {
		if err := r.removeFromGroup(ctx, group, id); err != nil {
			return err
		}
	}
	return nil
}

// removeFromGroup removes a member from a group. It retries while there is no leader.
func (r *Replica) removeFromGroup(ctx context.Context, group uint32, id string) error {
	for {
		err := r.tryRemoveFromGroup(ctx, group, id)
		if err == nil || !errs.Is(err, errs.NotLeader) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(manageInterval):
		}
	}
}

// tryRemoveFromGroup sends the removal to the leader of the group, or proposes it here if no
// other leader is known.
func (r *Replica) tryRemoveFromGroup(ctx context.Context, group uint32, id string) error {
	g, err := r.group(group)
	if err != nil {
		return err
	}
	leader, _ := r.Leader(group)
	if p := r.peers.get(leader); p != nil {
		return p.currentClient().Call(ctx, methodRemove, removeRequest{Group: group, Member: id}, nil)
	}
	return g.remove(ctx, id)
}

// remove proposes the removal of all incarnations of a member, one at a time, and waits until
// all are committed.
func (g *group) remove(ctx context.Context, id string) error {
	for {
		step, err := withCore(ctx, g, func(now raft.Time, core *raft.Core) removalState { return g.removeStep(now, core, id) })
		if err != nil {
			return err
		}
		if step.done || step.err != nil {
			return step.err
		}
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-time.After(tickInterval):
		}
	}
}

// removalState is the result of one call of removeStep.
type removalState struct {
	done bool
	err  error
}

// removeStep proposes the removal of one incarnation of a member, unless a change is in
// progress. The removal is done once no incarnation is left; the status is then published, so
// that it shows the removal before the caller reports it.
func (g *group) removeStep(now raft.Time, core *raft.Core, id string) removalState {
	st := core.Status()
	if st.Role != raft.Leader {
		return removalState{err: g.notLeaderError()}
	}
	if st.ConfigPending {
		return removalState{}
	}
	for _, m := range st.Config.Members {
		if m.Peer.ID != id {
			continue
		}
		err := core.ProposeConfig(now, st.Config.WithRemoved(m.Peer))
		if errors.Is(err, raft.ErrConfigInvalid) {
			return removalState{err: errs.New(errs.BadRequest, "add another voter first", "member %s is the last voter of group %d", id, g.id)}
		}
		return removalState{}
	}
	g.publishStatus()
	return removalState{done: true}
}
