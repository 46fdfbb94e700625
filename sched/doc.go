// Package sched implements the scheduling of one pool of targets: the order of the queue,
// the choice of a target, the slot limits and the estimates they are based on. It does no
// network I/O, reads no clock and starts no goroutines: callers pass in the time, as the
// duration since an epoch of their choice, and a random source, and serialise their calls.
//
// Pool tracks the queue, the targets and the slots in use; a Policy decides which queued
// request goes to which target. Fair is the policy used in production; the others are
// baselines for comparison.
package sched
