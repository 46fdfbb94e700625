package gateway

import (
	"time"

	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/routing"
)

// Targets that apply priorities admit the requests with the lowest value first. The values of urgency
// spread what has the same configured priority over the levels that targets know, so that under load a
// target's queue is in this order: programs that can still end within their objective before those that
// cannot; among the former by configured priority, and within a priority programs that have begun before
// new ones.
const (
	// urgencyLevels is the number of configured priorities that are told apart.
	urgencyLevels = 4
	// overdueUrgency is the priority of programs whose objective has passed, by one more for all but the
	// most urgent configured priority. They earn a part of their benefit at most.
	overdueUrgency = 8
)

// ProgramTime is what a request says of the time that its program has left.
type ProgramTime struct {
	Known bool
	Left  time.Duration // until the program's objective; 0 or negative: it has passed
}

// urgency returns the priority that a target is told, 0 to 9, where 0 is the most urgent. configured is the
// priority of the organisation or route. begun is set for a program of which a turn has been served.
//
// It answers bursts of demand in which turns queue at targets: a queue in order of arrival lets programs
// that are already late hold up those that still have time.
func urgency(configured int, begun bool, p ProgramTime) int {
	level := min(max(configured, 0), urgencyLevels-1)
	if p.Known && p.Left <= 0 {
		return overdueUrgency + min(level, 1)
	}
	if begun {
		return 2 * level
	}
	return 2*level + 1
}

// targetPriority returns the priority that the target is told. Targets that report the pace of their machine
// get the urgency; others get the configured priority, as before.
func (x *exchange) targetPriority(t *balance.Target) int {
	if !x.g.targets.Uneven(t.Service) {
		return x.priority()
	}
	return urgency(x.priority(), x.begun || x.route.Kind != routing.Streaming, x.req.ProgramTime)
}
