// Package tools is a stand-in for the tool services that agent programs call between
// their turns. It replies after a delay; calls that hang are injected as faults.
package tools
