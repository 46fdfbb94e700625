// Package orders is a stand-in for the order service of a site, which takes print orders,
// job tickets and payments that must not be executed twice. It executes an order for each
// request that it receives, so a request that is sent twice is counted as two executions.
package orders
