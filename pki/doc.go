// Package pki creates the certificates of a site, one certificate authority and a
// certificate for each process, and builds the TLS configurations that use them. Processes
// authenticate to each other with these certificates; the role of a process is the
// certificate's organisational unit.
package pki
