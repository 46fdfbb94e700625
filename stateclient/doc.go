// Package stateclient calls the state members. It finds and caches the leader of each
// group, follows hints, and resends a call under the same request id after a lost
// connection, a change of leader or an uncertain outcome, until the context ends; state
// machines answer a resend with the first reply.
//
// A write whose context ends when it may have been committed fails with errs.Uncertain
// and an unknown run state. One that provably was not sent fails with errs.Unavailable.
package stateclient
