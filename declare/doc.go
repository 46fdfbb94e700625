// Package declare reads the declaration of a site from a base file and an overlay file and
// validates it as a whole. All problems of both files are reported in one run; a
// declaration with a problem is never returned.
//
// The base file holds what all sites share: models, services and organisations. The
// overlay holds the site, its zones, hosts and targets, and may override single keys of a
// base section, so that hardware that arrives late changes only the overlay.
package declare
