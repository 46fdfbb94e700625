// Package compare compares scheduling policies by discrete-event simulation of a site. The
// model has engines, which batch requests and cache prompt prefixes, and programs, which
// consist of dependent turns with tool pauses and sub-agents. Time is virtual, and every
// run is determined by its seed. All policies of a comparison get the same programs.
package compare
