// Package compare runs scheduling policies against each other on a simple model of a
// site: engines that batch and cache prompt prefixes, and programs of dependent turns
// with tool pauses and sub-agents. Time is virtual and every run is determined by its
// seed. All policies of a comparison see the same programs.
package compare
