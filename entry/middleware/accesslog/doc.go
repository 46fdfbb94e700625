// Package accesslog is the middleware that logs requests and records their number, duration
// and status in metrics.
package accesslog
