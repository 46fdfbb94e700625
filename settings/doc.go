// Package settings reads the process settings of figlb's binaries: addresses, zone,
// data folder, TLS files, logging and tracing. They are static: a change needs a
// restart. What operators change at run time is a declaration (package declare).
package settings
