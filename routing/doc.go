// Package routing defines the configuration of the gateway: routes from host and path prefix to
// weighted services, organisations with their keys and rates, and limits for callers. A Table
// is immutable once built; a new version replaces it as a whole.
package routing
