package stateserver

import (
	"context"
	"sync"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
)

const (
	// expiryPeriod is how often each group's leader looks for idle programs.
	expiryPeriod = 10 * time.Second
	// fingerprintPeriod is how often the config leader looks for expired fingerprints.
	fingerprintPeriod = 10 * time.Second
	// jobTimeout bounds one proposal of a background job.
	jobTimeout = 5 * time.Second
)

// Run runs the background jobs until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := func(period time.Duration, job func(context.Context)) {
		wg.Go(func() { periodic.Run(ctx, period, periodic.Always(job)) })
	}
	start(min(expiryPeriod, max(s.ProgramIdle/2, time.Second)), s.expireAll)
	start(fingerprintPeriod, s.liftExpired)
	start(releasePeriod, newReleaser(s).round)
	start(orderPeriod, newIssuer(s).round)
	start(membershipTick, func(context.Context) { s.entries.tick() })
}

// expireAll proposes an expiry in each organisation group that this member leads.
func (s *Server) expireAll(ctx context.Context) {
	for group, sm := range s.Machines.Orgs {
		if !s.Node.IsLeader(group) {
			continue
		}
		e := &structs.Expire{Idle: s.ProgramIdle, Keep: s.KeepEnded}
		if s.LiveEntries != nil && sm.NeedsLive(s.Node.LogTime(group)) {
			e.LiveEntries = s.LiveEntries()
		}
		c := &structs.OrgCommand{RequestID: stateclient.NewRequestID(), Expire: e}
		if _, err := s.proposeJob(ctx, group, c); err != nil {
			s.logJob("expiry", group, err)
		}
	}
}

// liftExpired ends the quarantines whose time is over.
func (s *Server) liftExpired(ctx context.Context) {
	if !s.Node.IsLeader(stateclient.ConfigGroup) {
		return
	}
	for _, digest := range s.Machines.Config.ExpiredFingerprints(time.Now().Unix()) {
		c := &structs.ConfigCommand{
			RequestID: stateclient.NewRequestID(), Author: s.ID,
			LiftFingerprint: &structs.LiftFingerprint{Digest: digest},
		}
		ctx, cancel := context.WithTimeout(ctx, jobTimeout)
		_, err := s.proposeConfig(ctx, c)
		cancel()
		if err != nil {
			s.logJob("fingerprint expiry", stateclient.ConfigGroup, err)
		}
	}
}

func (s *Server) proposeJob(ctx context.Context, group uint32, c *structs.OrgCommand) (*structs.OrgReply, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	return s.proposeOrg(ctx, group, c)
}

// logJob reports a failed job. A change of leader is no failure: the new leader runs it.
func (s *Server) logJob(job string, group uint32, err error) {
	if !errs.Is(err, errs.NotLeader) {
		s.Log.Info("background job failed, it is repeated", "job", job, "group", group, "error", err.Error())
	}
}
