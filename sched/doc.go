// Package sched holds the scheduling policy of one pool of targets: the order of the
// queue, the choice of a target, the slot limits and the estimates behind them. It has
// no network, clock or goroutine of its own: callers pass the time, as the duration
// since an epoch of their choice, and a random source, and serialise their calls.
//
// Pool keeps the accounting; a Policy decides which queued request goes to which
// target. Fair is the policy in use, the others are baselines.
package sched
