package stateclient

import "github.com/cespare/xxhash/v2"

// ConfigGroup is the group of the configuration.
const ConfigGroup uint32 = 0

// OrgGroup returns the group of an organisation among n organisation groups.
func OrgGroup(org string, n int) uint32 { return hashGroup(org, n) }

// PoolGroup returns the group whose leader schedules a pool, among n organisation groups.
func PoolGroup(pool string, n int) uint32 { return hashGroup(pool, n) }

func hashGroup(s string, n int) uint32 { return 1 + uint32(xxhash.Sum64String(s)%uint64(n)) }
