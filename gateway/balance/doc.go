// Package balance is the load balancer of a gateway: it chooses the target of each request.
// It does no I/O. The gateway supplies the list of targets, the in-flight counts of the other
// gateways, the load that targets report in their responses and the outcomes of requests.
package balance
