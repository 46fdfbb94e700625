// Package dispatch runs the schedulers of a state member. Each pool has one active
// scheduler, which runs on the leader of the pool's group. It queues the requests
// of all entries, assigns them to targets by the policy of package sched, and follows the
// configuration, drains, the platform's host list, load reports and cache events.
//
// The scheduler's state is kept in memory only. After a change of leader, entries send
// their waiting requests again and report their slots in use. The new scheduler assigns
// nothing until the old leader's lease must have expired, and until either all live
// entries have reported or Options.ReportWait has passed.
package dispatch
