// Package orgsm is the state machine of an organisation group: token buckets for
// rate limits, programs with their turns and budgets, calls that may not be repeated, and
// pending releases of engine memory. All state is keyed by organisation, so that an
// organisation cannot access the records of another.
//
// Apply is deterministic: it uses log time only, and neither replies nor snapshots
// depend on the iteration order of maps.
package orgsm
