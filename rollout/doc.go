// Package rollout decides how far the traffic of a service has moved to another software version: the
// verdict on the new version, the share of requests that it gets, the budget of requests that a bad
// version may get, and the transitions between the phases. It reads neither network nor clock.
//
// It is designed for two roll-outs at once, 370 gateways that report five times a second, services with
// 5 to 3,000 requests/s and durations from 5 s. docs/design/rollouts.md gives the reasons and the
// measured rates of wrong verdicts.
package rollout
