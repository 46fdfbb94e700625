// Package schedclient is the entries' side of the schedulers. It finds the leader that
// schedules a pool, keeps requests waiting across changes of leader and lost
// connections under the same request id, and reports the slots in use twice a second.
package schedclient
