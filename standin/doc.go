// Package standin contains the contract tests of the stand-ins. The stand-ins are test
// doubles that implement the published protocols of the systems around figlb. They are in
// the packages below this one, one package per system.
package standin
