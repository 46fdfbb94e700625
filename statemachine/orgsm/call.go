package orgsm

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

func (o *org) beginCall(c *structs.BeginCall, now time.Duration) structs.OrgReply {
	o.see(c.Limits, now)
	if c.Key == "" {
		return refuse(errs.New(errs.BadRequest, "send an idempotency key", "the call has no key"))
	}
	if k := o.calls[c.Key]; k != nil {
		return o.beginAgain(k, c, now)
	}
	return o.startCall(c, now)
}

func (o *org) startCall(c *structs.BeginCall, now time.Duration) structs.OrgReply {
	if err := o.debit(); err != nil {
		return refuse(err)
	}
	attempt := 1
	if old := o.calls[c.Key]; old != nil {
		attempt = old.Rec.Attempt + 1
	}
	k := &call{Rec: structs.Call{
		Key: c.Key, Service: c.Service, Digest: c.Digest,
		State: structs.CallRunning, Entry: c.Entry, Attempt: attempt, BegunAt: now,
	}}
	o.calls[c.Key] = k
	return structs.OrgReply{BeginCall: &structs.BeginCallReply{Call: k.Rec, Begun: true}}
}

// beginAgain answers a begin of a call that has a record.
func (o *org) beginAgain(k *call, c *structs.BeginCall, now time.Duration) structs.OrgReply {
	if k.Rec.Digest != c.Digest || k.Rec.Service != c.Service {
		return refuse(errs.New(errs.IdempotencyMismatch, "use a new key for another request",
			"key %q was used with another request", c.Key))
	}
	if k.Rec.State == structs.CallNotRun {
		return o.startCall(c, now)
	}
	if k.Rec.State == structs.CallRunning && isDead(k.Rec.Entry, c.Entry, c.LiveEntries) {
		o.setUnknown(k)
	}
	return structs.OrgReply{BeginCall: &structs.BeginCallReply{Call: k.Rec}}
}

func (o *org) setUnknown(k *call) {
	k.Rec.State = structs.CallUnknown
	o.notify(callKey(k.Rec.Key))
}

func unknownCall(key string) *errs.Error {
	return errs.New(errs.NotFound, "check the key", "no call has the key %q", key)
}

// finishCall records an outcome. The entry that began the call may also settle it after
// it was taken for dead, because it knows the true outcome.
func (o *org) finishCall(c *structs.FinishCall, now time.Duration) structs.OrgReply {
	k := o.calls[c.Key]
	if k == nil {
		return refuse(unknownCall(c.Key))
	}
	open := k.Rec.State == structs.CallRunning || k.Rec.State == structs.CallUnknown
	current := k.Rec.Entry == c.Entry && (c.Attempt == 0 || c.Attempt == k.Rec.Attempt)
	if !open || !current {
		return refuse(errs.New(errs.Superseded, "read the recorded outcome",
			"call %q is %s and not this attempt's to finish", c.Key, k.Rec.State).WithRun(errs.RunUnknown))
	}
	switch c.State {
	case structs.CallFinished, structs.CallUnknown, structs.CallNotRun:
	default:
		return refuse(errs.New(errs.BadRequest, "send finished, unknown or not_run",
			"call %q cannot become %q", c.Key, c.State).WithRun(errs.RunUnknown))
	}
	k.Rec.State = c.State
	k.Rec.Status, k.Rec.Header, k.Rec.Body = c.Status, c.Header, c.Body
	if c.Target != "" {
		k.Rec.Target = c.Target
	}
	k.EndedAt = now
	o.notify(callKey(c.Key))
	rec := k.Rec
	return structs.OrgReply{Call: &rec}
}

func (o *org) resolveCall(c *structs.ResolveCall, now time.Duration) structs.OrgReply {
	k := o.calls[c.Key]
	if k == nil {
		return refuse(unknownCall(c.Key))
	}
	if k.Rec.State != structs.CallUnknown {
		return refuse(errs.New(errs.BadRequest, "only an unknown call can be resolved",
			"call %q is %s", c.Key, k.Rec.State))
	}
	if c.State != structs.CallFinished && c.State != structs.CallNotRun {
		return refuse(errs.New(errs.BadRequest, "resolve it as finished or not_run",
			"call %q cannot be resolved as %q", c.Key, c.State))
	}
	k.Rec.State = c.State
	k.Rec.Status, k.Rec.Body = c.Status, c.Body
	k.EndedAt = now
	o.notify(callKey(c.Key))
	rec := k.Rec
	return structs.OrgReply{Call: &rec}
}
