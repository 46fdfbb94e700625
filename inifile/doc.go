// Package inifile reads INI files strictly: unknown and repeated sections and keys are
// problems, values are taken literally (no interpolation, no inline comments), and all
// problems of a file are reported together, each with its file, line and remedy.
package inifile
