// Package documentsm is the replicated state machine of a site's configuration. It holds the
// newest version of the document, whose content it does not interpret, and the availability zones
// that are out of service.
package documentsm
