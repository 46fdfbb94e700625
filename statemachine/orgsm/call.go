package orgsm

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// beginCall starts a call, or returns its record if its key is known already.
func (o *org) beginCall(c *structs.BeginCall, now time.Duration) structs.OrgReply {
	o.updateLimits(c.Limits, now)
	if c.Key == "" {
		return errorReply(errs.New(errs.BadRequest, "send an idempotency key", "the call has no key"))
	}
	if k := o.calls[c.Key]; k != nil {
		return o.beginExistingCall(k, c, now)
	}
	return o.startCall(c, now)
}

// startCall debits the bucket and records a new attempt of the call.
func (o *org) startCall(c *structs.BeginCall, now time.Duration) structs.OrgReply {
	if err := o.debit(); err != nil {
		return errorReply(err)
	}
	attempt := 1
	if previous := o.calls[c.Key]; previous != nil {
		attempt = previous.Record.Attempt + 1
	}
	k := &call{Record: structs.Call{
		Key: c.Key, Service: c.Service, Digest: c.Digest,
		State: structs.CallRunning, Entry: c.Entry, Attempt: attempt, BegunAt: now,
	}}
	o.calls[c.Key] = k
	return structs.OrgReply{BeginCall: &structs.BeginCallReply{Call: k.Record, Begun: true}}
}

// beginExistingCall handles a begin whose key has a record. Only a call that has been
// proved not to have run is started again. A running call whose entry is dead becomes
// unknown.
func (o *org) beginExistingCall(k *call, c *structs.BeginCall, now time.Duration) structs.OrgReply {
	if k.Record.Digest != c.Digest || k.Record.Service != c.Service {
		return errorReply(errs.New(errs.IdempotencyMismatch, "use a new key for another request",
			"key %q was used with another request", c.Key))
	}
	if k.Record.State == structs.CallNotRun {
		return o.startCall(c, now)
	}
	if k.Record.State == structs.CallRunning && entryIsDead(k.Record.Entry, c.Entry, c.LiveEntries) {
		o.markCallUnknown(k)
	}
	return structs.OrgReply{BeginCall: &structs.BeginCallReply{Call: k.Record}}
}

func (o *org) markCallUnknown(k *call) {
	k.Record.State = structs.CallUnknown
	o.notify(callKey(k.Record.Key))
}

func unknownCall(key string) *errs.Error {
	return errs.New(errs.NotFound, "check the key", "no call has the key %q", key)
}

// finishCall records the outcome of a call. The entry that began the call may also finish
// it after the call became unknown because the entry was presumed dead: that entry knows
// the true outcome.
func (o *org) finishCall(c *structs.FinishCall, now time.Duration) structs.OrgReply {
	k := o.calls[c.Key]
	if k == nil {
		return errorReply(unknownCall(c.Key))
	}
	open := k.Record.State == structs.CallRunning || k.Record.State == structs.CallUnknown
	current := k.Record.Entry == c.Entry && (c.Attempt == 0 || c.Attempt == k.Record.Attempt)
	if !open || !current {
		return errorReply(errs.New(errs.Superseded, "read the recorded outcome",
			"call %q is %s and not this attempt's to finish", c.Key, k.Record.State).WithRun(errs.RunUnknown))
	}
	switch c.State {
	case structs.CallFinished, structs.CallUnknown, structs.CallNotRun:
	default:
		return errorReply(errs.New(errs.BadRequest, "send finished, unknown or not_run",
			"call %q cannot become %q", c.Key, c.State).WithRun(errs.RunUnknown))
	}
	k.Record.State = c.State
	k.Record.Status, k.Record.Header, k.Record.Body = c.Status, c.Header, c.Body
	if c.Target != "" {
		k.Record.Target = c.Target
	}
	k.EndedAt = now
	o.notify(callKey(c.Key))
	rec := k.Record
	return structs.OrgReply{Call: &rec}
}

// resolveCall records the outcome of an unknown call as determined by an operator.
func (o *org) resolveCall(c *structs.ResolveCall, now time.Duration) structs.OrgReply {
	k := o.calls[c.Key]
	if k == nil {
		return errorReply(unknownCall(c.Key))
	}
	if k.Record.State != structs.CallUnknown {
		return errorReply(errs.New(errs.BadRequest, "only an unknown call can be resolved",
			"call %q is %s", c.Key, k.Record.State))
	}
	if c.State != structs.CallFinished && c.State != structs.CallNotRun {
		return errorReply(errs.New(errs.BadRequest, "resolve it as finished or not_run",
			"call %q cannot be resolved as %q", c.Key, c.State))
	}
	k.Record.State = c.State
	k.Record.Status, k.Record.Body = c.Status, c.Body
	k.EndedAt = now
	o.notify(callKey(c.Key))
	rec := k.Record
	return structs.OrgReply{Call: &rec}
}
