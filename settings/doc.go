// Package settings reads the process settings of figlb's binaries: addresses,
// availability zone, data folder, TLS files, logging and tracing. They are static: a
// change takes effect after a restart. What operators change at run time is in the
// declaration of the site (package declare).
package settings
