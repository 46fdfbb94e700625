// Command bench measures what figlb costs: added time to first token, and processor time,
// memory and bytes of each process against the sizes that grow. It starts a site of real
// processes on loopback and prints one line for each measurement. It is a program and not
// a test, because its figures depend on the machine. The results are in docs/CAPACITY.md.
//
//	go run ./test/bench [-flags] ttft|polls|config|targets|programs|turns|syncs|buckets|groups|share
package main
