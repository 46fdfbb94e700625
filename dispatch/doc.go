// Package dispatch runs the schedulers of a state member. For each pool there is one
// scheduler in the fleet, on the leader of the pool's group. It queues the requests of
// all entries, assigns them to targets by the policy of package sched, and follows
// configuration, drains, the platform's host list, load reports and cache events.
//
// The state is volatile. After a change of leader, entries send waiting requests again
// and report their slots in use; the new scheduler assigns nothing before the old
// leader's lease must have ended and the live entries have reported.
package dispatch
