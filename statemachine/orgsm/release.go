package orgsm

import (
	"strings"

	"github.com/figlb/figlb/structs"
)

// anyTargetPrefix marks a release that concerns each target of a service.
const anyTargetPrefix = "service:"

// AnyTargetOf returns the Target of a release for a program whose targets are not all
// known, because an entry died before it reported them.
func AnyTargetOf(service string) string { return anyTargetPrefix + service }

// ServiceOfRelease returns the service of a release made with AnyTargetOf.
func ServiceOfRelease(target string) (service string, ok bool) {
	return strings.CutPrefix(target, anyTargetPrefix)
}

func (o *org) queueReleases(p *program) {
	for _, t := range p.Rec.Targets {
		o.queueRelease(p.Rec.ID, t)
	}
	if p.LostAttempt {
		o.queueRelease(p.Rec.ID, AnyTargetOf(p.Rec.Service))
	}
}

func (o *org) queueRelease(program, target string) {
	if target == "" {
		return
	}
	o.releaseSeq++
	o.releases[structs.Release{Program: program, Target: target}] = o.releaseSeq
}

func (o *org) released(c *structs.Released) structs.OrgReply {
	for _, r := range c.Releases {
		id := structs.Release{Program: r.Program, Target: r.Target}
		if o.releases[id] == r.Seq {
			delete(o.releases, id)
		}
	}
	return structs.OrgReply{}
}
