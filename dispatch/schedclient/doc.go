// Package schedclient is the client with which entries call the schedulers. It finds the leader
// that schedules a pool, resends waiting requests under the same request id after a change of
// leader or a lost connection, and reports the slots in use twice a second.
package schedclient
