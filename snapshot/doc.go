// Package snapshot defines the encoded state of a group as it is stored and transferred. It
// consists of a head, which is written anew for each snapshot, and of chunks, which several
// snapshots may share.
package snapshot
