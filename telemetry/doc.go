// Package telemetry sets up what operators see of a process: the structured log, the
// trace exporter and the admin HTTP endpoint with health, readiness and metrics.
package telemetry
