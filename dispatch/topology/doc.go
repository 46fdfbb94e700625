// Package topology follows the configuration for the schedulers of a state member. A
// member that does not lead group 0 polls its leader, so that it knows how old its view
// is and stops assigning when the view can no longer be confirmed.
package topology
