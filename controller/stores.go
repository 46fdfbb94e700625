package controller

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/documentsm"
)

const (
	// storeTimeout is the time since its last poll up to which a store host is in the view. Store hosts
	// poll twice a second.
	storeTimeout = 1500 * time.Millisecond
	// forgetStoreAfter is the time without a poll after which a store host is forgotten. It is longer than
	// hostTimeout, so that a listed store host without a report is one that holds no bodies.
	forgetStoreAfter = 2 * hostTimeout
	// retireGrace is the time after every gateway has the view in which a store host is retiring until
	// no gateway writes to it by an older view any more. A gateway's write ends within 0.6 s.
	retireGrace = time.Second
	// revisionTermShift places the leader's term above the counter of a view's revision. Revisions of
	// early views are below firstRevision in their term.
	revisionTermShift = 32
	firstRevision     = 1 << 16
)

// storeTable holds what the leader knows of the store hosts and the view that hosts get of them. It is
// designed for up to some hundred store hosts. It is cleared in a new term, and the first view of a term
// is published once every live store host has polled: a view without some of them would make gateways and
// stores place bodies elsewhere.
type storeTable struct {
	log logr.Logger

	mu          sync.Mutex
	term        uint64
	settledAt   time.Duration // when the view may be published
	refreshedAt time.Duration
	stores      map[string]*storeState
	view        fleet.StoreView // revision 0: none in this term yet
	// early holds the store hosts heard so far while there is no view. It is for gateways that have just
	// started and have no view at all, as after a loss of all power.
	early    fleet.StoreView
	retiring map[string]*retiringStore
}

// storeState is what the leader knows of one store host.
type storeState struct {
	zone     string
	report   fleet.StoreReport
	lastPoll time.Duration
}

// retiringStore is the progress of a retirement in this term.
type retiringStore struct {
	revision uint64 // of the first view in which the host is retiring
	// seenAt is when all gateways were first known to have that view or a newer one; 0: not yet.
	seenAt time.Duration
}

// startTerm clears the table if the term is new. The caller holds mu.
func (t *storeTable) startTerm(now time.Duration, term uint64) {
	if t.term == term && t.stores != nil {
		return
	}
	t.term, t.settledAt, t.refreshedAt = term, now+storeTimeout, now
	t.stores, t.retiring = map[string]*storeState{}, map[string]*retiringStore{}
	t.view, t.early = fleet.StoreView{}, fleet.StoreView{}
}

// record updates the table from a poll of a store host that reports its bodies.
func (t *storeTable) record(now time.Duration, term uint64, req *fleet.PollRequest) {
	if req.Store == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(now, term)
	if req.Leaving {
		delete(t.stores, req.Host)
		return
	}
	t.stores[req.Host] = &storeState{zone: req.Zone, report: *req.Store, lastPoll: now}
}

// refresh renews the view. oldestView is the lowest revision of the view that any gateway holds.
func (t *storeTable) refresh(now time.Duration, term uint64, copies int, retired map[string]documentsm.Retirement, oldestView uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(now, term)
	if now-t.refreshedAt >= storeTimeout/2 {
		// This process was suspended, and polls have not been received meanwhile.
		t.settledAt = max(t.settledAt, now+storeTimeout)
	}
	t.refreshedAt = now
	next := t.currentStores(now, retired)
	if now < t.settledAt {
		if revision := t.term<<revisionTermShift + uint64(min(len(next), firstRevision-1)); revision > t.early.Revision {
			t.early = fleet.StoreView{Revision: revision, Copies: copies, Stores: next}
		}
		return
	}
	if !slices.Equal(next, t.view.Stores) || t.view.Copies != copies && len(next) > 0 {
		t.publish(next, copies)
	}
	t.trackRetirements(now, oldestView)
}

// currentStores returns the live store hosts sorted by name, and forgets those that have been silent for
// forgetStoreAfter.
func (t *storeTable) currentStores(now time.Duration, retired map[string]documentsm.Retirement) []fleet.Store {
	var out []fleet.Store
	for name, s := range t.stores {
		if now-s.lastPoll > forgetStoreAfter {
			delete(t.stores, name)
		}
		if now-s.lastPoll > storeTimeout {
			continue
		}
		order, ordered := retired[name]
		out = append(out, fleet.Store{
			Name: name, Address: s.report.Address, Zone: s.zone, Incarnation: s.report.Incarnation, DiskMB: s.report.DiskMB,
			Writable: s.report.Writable, Retiring: ordered && order.AppliesTo(s.report.Incarnation),
		})
	}
	slices.SortFunc(out, func(a, b fleet.Store) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// publish replaces the view. Its revision is higher than that of every view of this and earlier terms.
func (t *storeTable) publish(stores []fleet.Store, copies int) {
	revision := max(t.view.Revision+1, t.term<<revisionTermShift+firstRevision)
	t.view = fleet.StoreView{Revision: revision, Copies: copies, Stores: stores}
	writable, retiring := 0, 0
	for _, s := range stores {
		if s.Writable && !s.Retiring {
			writable++
		}
		if s.Retiring {
			retiring++
		}
	}
	t.log.Info("view of the store hosts changed", "revision", revision, "stores", len(stores), "writable", writable, "retiring", retiring, "copies", copies)
}

// trackRetirements notes since when the gateways know of each retirement. The caller holds mu.
func (t *storeTable) trackRetirements(now time.Duration, oldestView uint64) {
	marked := map[string]bool{}
	for _, s := range t.view.Stores {
		if !s.Retiring {
			continue
		}
		marked[s.Name] = true
		r := t.retiring[s.Name]
		if r == nil {
			r = &retiringStore{revision: t.view.Revision}
			t.retiring[s.Name] = r
		}
		if r.seenAt == 0 && oldestView >= r.revision {
			r.seenAt = now
		}
	}
	for name := range t.retiring {
		if _, known := t.stores[name]; !marked[name] && !known {
			delete(t.retiring, name)
		}
	}
}

// emptied returns the retiring store hosts whose bodies all have their copies elsewhere: the newest report
// is for the present view and was sent when no gateway wrote to the host any more.
func (t *storeTable) emptied() []documentsm.Retirement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []documentsm.Retirement
	for _, v := range t.view.Stores {
		s, r := t.stores[v.Name], t.retiring[v.Name]
		if !v.Retiring || s == nil || r == nil || r.seenAt == 0 {
			continue
		}
		if s.report.Remaining == 0 && s.report.ViewRevision == t.view.Revision && s.report.Incarnation == v.Incarnation && s.lastPoll >= r.seenAt+retireGrace {
			out = append(out, documentsm.Retirement{Host: v.Name, Incarnation: v.Incarnation, Completed: true})
		}
	}
	return out
}

// changeSince returns the view, or nil if a host of a kind that holds the view with a revision needs none.
func (t *storeTable) changeSince(kind string, known uint64) *fleet.StoreView {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view
	if hasNone := known == 0 || known>>revisionTermShift == t.term; v.Revision == 0 && hasNone && kind == fleet.KindGateway && len(t.early.Stores) > 0 {
		v = t.early
	}
	if v.Revision == 0 || v.Revision == known {
		return nil
	}
	return &v
}

// storeSummary is what decisions about bodies depend on.
type storeSummary struct {
	settled  bool
	writable int // store hosts that take bodies
	bodies   int
	disks    []diskUse // of the store hosts that are not retiring
}

// summary returns a summary of the view's store hosts.
func (t *storeTable) summary(now time.Duration) storeSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := storeSummary{settled: t.stores != nil && now >= t.settledAt}
	for _, v := range t.view.Stores {
		s := t.stores[v.Name]
		if s == nil {
			continue
		}
		out.bodies += s.report.Bodies
		if v.Retiring {
			continue
		}
		out.disks = append(out.disks, diskUse{usedMB: s.report.UsedMB, diskMB: s.report.DiskMB})
		if v.Writable {
			out.writable++
		}
	}
	return out
}

// incarnation returns the incarnation that a store host has reported, and false if it has reported none.
func (t *storeTable) incarnation(host string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stores[host]
	if s == nil {
		return "", false
	}
	return s.report.Incarnation, true
}
