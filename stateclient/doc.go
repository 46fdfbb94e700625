// Package stateclient calls the state members. It finds and caches the leader of each
// group and follows the leader hints in error replies. After a lost connection, a change
// of leader or an uncertain outcome it resends a call under the same request id until the
// context ends; the state machines answer a resend with the first reply.
//
// A write that may have been committed when its context ends fails with errs.Uncertain and
// an unknown run state. A write that certainly was not committed fails with
// errs.Unavailable.
package stateclient
