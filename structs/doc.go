// Package structs holds the types that figlb's packages and processes share:
// declared objects, replicated records, commands, queries and their replies. They
// are encoded as msgpack. Durations in replicated records are log time (see
// package replica) unless a comment says otherwise.
package structs
