// Command bench measures the overhead of figlb: the added time to first token, and how the CPU
// time, memory and I/O of each process grow with the size of the site and its load. It starts
// a site of real processes on loopback and prints one line per measurement. It is a program
// and not a test, because its figures depend on the host. The results are in
// docs/CAPACITY.md.
//
//	go run ./test/bench [-flags] ttft|polls|config|targets|programs|turns|syncs|buckets|groups|share
package main
