// Package gateway is the HTTP gateway of a site whose callers and targets speak their own
// protocol. It routes requests by host and path prefix, checks keys, rates and token budgets,
// chooses a target, forwards the request and passes the response on to the caller. An Adapter
// translates between the protocol and the types of this package.
//
// A request may belong to a program, the run of an agent that consists of many requests. A
// program fails with its first failed request, so the gateway sheds load by refusing new
// programs in favour of those that have begun. A streaming request of a program that has a
// token budget or whose history is kept is a turn, which is recorded in the ledger.
//
// The configuration, the list of targets, the rates of organisations and the ledger are kept by
// the controllers, a replicated group of processes. The gateway polls their leader. While the
// leader does not respond, the gateway asks a few other gateways, its peers, whether only this
// host is cut off; if so, the peers relay its calls to the controllers.
package gateway
