// Package crowd tests that figlb's processes survive clients that are not controlled: crowds that
// fill memory or use up descriptors. Each test starts real processes on loopback addresses with
// low limits and checks the peak resident set and the open descriptors against them, that the
// process lives, and that an ordinary request is answered while the crowd is still connected.
package crowd
