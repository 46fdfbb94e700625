// Package tools is a stand-in for the tool services that agent programs call between
// their turns. It answers after a delay; hangs are injected as faults.
package tools
