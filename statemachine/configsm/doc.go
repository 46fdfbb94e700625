// Package configsm is the state machine of group 0: the declared objects with their
// revisions and history, keys, drains, crash fingerprints, the issuer lease for engine
// orders with its fencing numbers, and the orders.
//
// Each accepted change of the configuration increments the revision. Orders and issuers are
// not configuration: they do not change the revision, so they never cause a revision
// conflict.
package configsm
