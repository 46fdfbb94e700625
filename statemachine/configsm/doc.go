// Package configsm is the state machine of group 0: the declared objects with their
// revisions and history, keys, drains, crash fingerprints, the issuer of engine orders
// with its fencing numbers, and the orders.
//
// One counter numbers the accepted changes of the configuration. Orders and issuers are
// not configuration: they do not advance it, so they never cause a revision conflict.
package configsm
