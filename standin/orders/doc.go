// Package orders is a stand-in for the order service of a site: print orders, job
// tickets and payments that must not be repeated. It executes an order once per request
// it receives, so a request that is sent twice shows as two executions.
package orders
