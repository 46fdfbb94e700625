// Package operator executes operator requests by calling the leaders of the controller
// groups.
package operator
