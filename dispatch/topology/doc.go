// Package topology keeps the configuration that the schedulers of a state member use up to
// date. It polls the leader of group 0, so that the member knows how old its view of the
// configuration is and its schedulers stop assigning once the view can no longer be confirmed.
package topology
