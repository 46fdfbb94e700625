package orgsm

import (
	"strings"

	"github.com/figlb/figlb/structs"
)

// serviceTargetPrefix marks a release that applies to all targets of a service.
const serviceTargetPrefix = "service:"

// AllTargetsOf returns the Target of a release that applies to all targets of a service. It
// is used if a program's targets are not all known because an entry died before it
// reported them.
func AllTargetsOf(service string) string { return serviceTargetPrefix + service }

// ServiceOfReleaseTarget returns the service of a Target made by AllTargetsOf; ok is false for the
// name of a single target.
func ServiceOfReleaseTarget(target string) (service string, ok bool) {
	return strings.CutPrefix(target, serviceTargetPrefix)
}

// queueReleases queues the release of p on all targets that may hold its KV cache.
func (o *org) queueReleases(p *program) {
	for _, t := range p.Record.Targets {
		o.queueRelease(p.Record.ID, t)
	}
	if p.LostAttempt {
		o.queueRelease(p.Record.ID, AllTargetsOf(p.Record.Service))
	}
}

// queueRelease queues a release, or queues it again under a new number.
func (o *org) queueRelease(program, target string) {
	if target == "" {
		return
	}
	o.releaseSeq++
	o.releases[structs.Release{Program: program, Target: target}] = o.releaseSeq
}

// confirmReleases deletes the confirmed releases, except those queued again since.
func (o *org) confirmReleases(c *structs.ConfirmReleases) structs.OrgReply {
	for _, r := range c.Releases {
		id := structs.Release{Program: r.Program, Target: r.Target}
		if o.releases[id] == r.Seq {
			delete(o.releases, id)
		}
	}
	return structs.OrgReply{}
}
