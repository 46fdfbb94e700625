// Package orgsm is the state machine of an organisation group: rate buckets, programs
// with their turns and budgets, calls that may not be repeated, and pending releases of
// engine memory. All state is keyed by organisation, so one organisation never sees
// another's records.
//
// Apply is deterministic: time is log time only, and neither replies nor snapshots
// depend on the order of maps.
package orgsm
