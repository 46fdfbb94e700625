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
	// expiryPeriod is the longest interval between expiry rounds of a group's leader.
	expiryPeriod = 10 * time.Second
	// fingerprintPeriod is how often the leader of the config group looks for expired
	// fingerprints.
	fingerprintPeriod = 10 * time.Second
	// jobTimeout bounds one proposal of a background job.
	jobTimeout = 5 * time.Second
)

// Run runs the background jobs and returns after ctx has ended and all jobs have stopped.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := func(period time.Duration, job func(context.Context)) {
		wg.Go(func() { periodic.Run(ctx, period, periodic.Always(job)) })
	}
	start(min(expiryPeriod, max(s.ProgramIdle/2, time.Second)), s.expirePrograms)
	start(fingerprintPeriod, s.liftExpiredFingerprints)
	start(releasePeriod, newReleaser(s).runRound)
	start(orderPeriod, newIssuer(s).runRound)
	start(trackerTickPeriod, func(context.Context) { s.entries.tick() })
}

// expirePrograms proposes an Expire command in each organisation group that this member
// leads. It ends idle programs, settles abandoned turns and calls, and drops old records.
func (s *Server) expirePrograms(ctx context.Context) {
	for group, sm := range s.StateMachines.Orgs {
		if !s.Node.IsLeader(group) {
			continue
		}
		e := &structs.Expire{Idle: s.ProgramIdle, Keep: s.EndedRetention}
		if s.LiveEntries != nil && sm.NeedsLiveEntries(s.Node.LogTime(group)) {
			e.LiveEntries = s.LiveEntries()
		}
		c := &structs.OrgCommand{RequestID: stateclient.NewRequestID(), Expire: e}
		if _, err := s.proposeJob(ctx, group, c); err != nil {
			s.logJobError("expiry", group, err)
		}
	}
}

// liftExpiredFingerprints lifts the fingerprints whose quarantine has expired.
func (s *Server) liftExpiredFingerprints(ctx context.Context) {
	if !s.Node.IsLeader(stateclient.ConfigGroup) {
		return
	}
	for _, digest := range s.StateMachines.Config.ExpiredFingerprints(time.Now().Unix()) {
		c := &structs.ConfigCommand{
			RequestID: stateclient.NewRequestID(), Author: s.ID,
			LiftFingerprint: &structs.LiftFingerprint{Digest: digest},
		}
		ctx, cancel := context.WithTimeout(ctx, jobTimeout)
		_, err := s.proposeConfig(ctx, c)
		cancel()
		if err != nil {
			s.logJobError("fingerprint expiry", stateclient.ConfigGroup, err)
		}
	}
}

func (s *Server) proposeJob(ctx context.Context, group uint32, c *structs.OrgCommand) (*structs.OrgReply, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	return s.proposeOrg(ctx, group, c)
}

// logJobError logs a failed job. A change of leader is not a failure, because the new leader
// runs the job.
func (s *Server) logJobError(job string, group uint32, err error) {
	if !errs.Is(err, errs.NotLeader) {
		s.Log.Info("background job failed; it runs again in the next period", "job", job, "group", group, "error", err.Error())
	}
}
