// Package pki makes the certificates of a site: one certificate authority and a
// certificate for each process, and builds the TLS configurations that use them. Each
// process proves its identity to its peers; the role stands in the certificate's
// organisational unit.
package pki
