// Package standin holds the contract tests of the stand-ins. The stand-ins themselves,
// which play the systems around figlb by their published protocols, are in the packages
// below it, one per role.
package standin
