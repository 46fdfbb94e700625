// Package deploy tests the build that the deploy file orders, in copies of the repository. It has no other code.
package deploy
