package controller

import (
	"context"
	"sync"
	"time"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/statemachine/documentsm"
)

const (
	// featuresInterval is the time between two questions for the features of the members.
	featuresInterval = time.Second
	// recordFeatureTimeout bounds the commit of a feature that all members understand.
	recordFeatureTimeout = time.Second
)

// Peers asks other members of the replicated groups.
type Peers interface {
	// MemberFeatures returns the features that the member at an address understands.
	MemberFeatures(ctx context.Context, addr string) (uint64, error)
}

// featureTable holds what the members of the groups have answered about their features.
type featureTable struct {
	mu       sync.Mutex
	answered map[string]uint64 // last answer by address
}

func (f *featureTable) set(address string, features uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answered == nil {
		f.answered = map[string]uint64{}
	}
	f.answered[address] = features
}

// understand returns whether all members have answered that they understand a feature, and whether one has
// answered that it does not.
func (f *featureTable) understand(members []string, feature uint64) (all, lacking bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all = true
	for _, addr := range members {
		features, answered := f.answered[addr]
		knows := answered && features&feature != 0
		all = all && knows
		lacking = lacking || answered && !knows
	}
	return all, lacking
}

// ownFeatures answers which features this member understands.
func (s *Server) ownFeatures(context.Context, *struct{}) (*fleet.FeaturesReply, error) {
	return &fleet.FeaturesReply{Features: fleet.KnownFeatures()}, nil
}

// updateFeatures asks all members for their features if this member leads the document group, and records
// that logs of events may be used once all of them know these.
func (s *Server) updateFeatures(ctx context.Context) {
	if s.leadingTerm() == 0 {
		return
	}
	members := s.opts.Node.Members()
	s.askFeatures(ctx, members)
	if all, _ := s.features.understand(members, fleet.FeatureEventLogs); !all || s.membersKeepLogs() {
		return
	}
	next := s.opts.Document.Get().Bodies
	next.Features |= fleet.FeatureEventLogs
	ctx, cancel := context.WithTimeout(ctx, recordFeatureTimeout)
	defer cancel()
	_, err := propose[documentsm.Reply](ctx, s, fleet.DocumentGroup, &documentsm.Command{Bodies: &documentsm.BodiesChange{State: next}})
	if err != nil {
		s.log.Info("cannot record that all members keep logs of events; retrying", "error", err.Error())
		return
	}
	s.log.Info("all members keep logs of events", "features", next.Features, "members", len(members))
}

// askFeatures asks members for their features. The last answer of a member that does not answer is kept.
func (s *Server) askFeatures(ctx context.Context, members []string) {
	if s.opts.Peers == nil {
		return
	}
	var wg sync.WaitGroup
	for _, addr := range members {
		wg.Go(func() {
			if features, err := s.opts.Peers.MemberFeatures(ctx, addr); err == nil {
				s.features.set(addr, features)
			}
		})
	}
	wg.Wait()
}
