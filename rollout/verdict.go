package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Kind is the kind of a verdict.
type Kind int

// Kinds of verdicts.
const (
	Undecided Kind = iota
	Good
	Bad
)

// Verdict is the judgement of a new version.
type Verdict struct {
	Kind   Kind
	Reason string // names route, aspect and counts
}

// The verdict rests on sequential probability ratio tests. For each route and aspect, the hypothesis that
// the new version is as bad as the old one (rate p0 of bad requests) is compared with the hypothesis that
// it is clearly worse (rate p1). The score is the logarithm of the ratio of their likelihoods: positive
// for a good version. p0 follows from the old version in the same seconds, so that bursts, lost hosts and
// failing targets that hit both versions count for neither verdict.
const (
	// badScore is the score at which a version is bad. With it, a version that is exactly as bad as p0 is
	// rolled back with a probability below exp(badScore) for each test.
	badScore = -6.0
	// badScoreFewTargets applies while fewer than minTargets targets have had requests, so that a single
	// failing target cannot be told apart.
	badScoreFewTargets = -10.0
	// goodScore is the score for a good verdict over all routes, and routeScore that which no single route
	// may be below: with about 25 requests on a route, two failures at random are no verdict yet. Each
	// route with at least minRoutePart of the service's requests needs minRouteRequests.
	goodScore        = 2.2
	routeScore       = -0.5
	minRoutePart     = 0.1
	minRouteRequests = 6
	// minTargets is the number of targets from which the worst one is left out: a single failing target
	// says nothing about the version. For a bad verdict it is left out if its own score is below
	// suspectTarget, for a good one only if the score shows that the target fails.
	minTargets    = 3
	suspectTarget = 0.0
	failingTarget = -3.5
)

// test is a pair of hypotheses: p0 is margin times the old version's rate and at least floor; p1 exceeds
// p0 by step, or by p0 if that is more.
type test struct {
	name                string
	floor, margin, step float64
}

var (
	// Failures: services fail about one request in a hundred on their own.
	failureTest = test{name: "failures", floor: 0.02, margin: 1.5, step: 0.15}
	// Late requests: a new target has no prompts cached, so that some first turns are late.
	lateTest = test{name: "late", floor: 0.1, margin: 1.5, step: 0.25}
	// With the whole load, and without the old version in the same seconds, only a plain change counts.
	loadedFailureTest = test{name: "failures with the whole load", floor: 0.1, margin: 2, step: 0.25}
	loadedLateTest    = test{name: "late with the whole load", floor: 0.3, margin: 2, step: 0.4}
)

// score returns the log-likelihood ratio for bad of n requests at the new version, and badOld of nOld at
// the old one.
func (t *test) score(bad, n, badOld, nOld int) float64 {
	const maxRate = 0.95
	p0 := min(max(t.floor, t.margin*(float64(badOld)+0.5)/(float64(nOld)+1)), maxRate)
	if nOld == 0 {
		p0 = t.floor
	}
	p1 := min(p0+max(t.step, p0), (1+maxRate)/2)
	return float64(bad)*math.Log(p0/p1) + float64(n-bad)*math.Log((1-p0)/(1-p1))
}

const (
	// lateQuantile and lateAbove define late requests: lateAbove buckets (a factor of 1.4) above that
	// quantile of the old version, and at least lateFactor buckets (a factor of 2.1) above its median.
	lateQuantile = 0.9
	lateAbove    = 2
	lateFactor   = 4
	// minOldTimes is the number of the old version's times that are needed for a comparison.
	minOldTimes = 8
	// loadedLateAbove is added with the whole load: another factor of 2.
	loadedLateAbove = 4
)

// aspect is one way in which requests may be bad.
type aspect struct {
	test
	// times returns the times of warm and of cold targets; nil: the aspect is failures.
	times func(c *Counts) (warm, cold Histogram)
	above int // buckets
}

// count returns the number of bad requests and of all. Late requests are those from bucket on.
func (a *aspect) count(c *Counts, bucket int, withCold bool) (bad, n int) {
	if a.times == nil {
		return int(c.Bad), int(max(c.Requests, c.Bad))
	}
	warm, cold := a.times(c)
	bad, n = warm.from(bucket), warm.total()
	if withCold {
		bad, n = bad+cold.from(bucket), n+cold.total()
	}
	return bad, n
}

func first(c *Counts) (warm, cold Histogram) { return c.First, c.ColdFirst }
func pace(c *Counts) (warm, cold Histogram)  { return c.Pace, c.ColdPace }

func aspects(failure, late test, above int) []aspect {
	slowFirst, slowPace := late, late
	slowFirst.name, slowPace.name = late.name+" (first event)", late.name+" (pace of events)"
	return []aspect{
		{test: failure},
		{test: slowFirst, times: first, above: above},
		{test: slowPace, times: pace, above: above},
	}
}

var (
	trialAspects  = aspects(failureTest, lateTest, 0)
	loadedAspects = aspects(loadedFailureTest, loadedLateTest, loadedLateAbove)
)

// result is the outcome of one test.
type result struct {
	score                float64
	bad, n, badOld, nOld int
	usable               bool // there was something to compare with
}

// lateFrom returns the bucket from which times are late, and false if the old version has too few times.
func (a *aspect) lateFrom(r *RouteCounts) (int, bool) {
	if a.times == nil {
		return 0, true
	}
	old, _ := a.times(&r.Old)
	if old.total() < minOldTimes {
		return 0, false
	}
	return max(old.quantile(lateQuantile)+lateAbove, old.quantile(0.5)+lateFactor) + a.above, true
}

// coldCounts reports whether the times of cold targets count: only if they speak for the version. A cold
// target may be slow whatever its version, and it may be cold for most of the trial.
func (a *aspect) coldCounts(r *RouteCounts, bucket int, old *result) bool {
	if a.times == nil {
		return false
	}
	late, n := 0, 0
	for _, c := range r.New {
		_, cold := a.times(c)
		late, n = late+cold.from(bucket), n+cold.total()
	}
	return a.score(late, n, old.badOld, old.nOld) > 0
}

// judge applies an aspect to all routes. The target with the worst score over all routes is left out if
// that score is below leaveOut. targets is the number of targets with requests.
func (a *aspect) judge(e Evidence, leaveOut float64) (results map[string]result, targets int) {
	results = map[string]result{}
	scores := map[string]float64{}
	for route, r := range e {
		bucket, ok := a.lateFrom(r)
		if !ok {
			continue
		}
		res := result{usable: true}
		res.badOld, res.nOld = a.count(&r.Old, bucket, false)
		withCold := a.coldCounts(r, bucket, &res)
		for target, c := range r.New {
			bad, n := a.count(c, bucket, withCold)
			if n == 0 {
				continue
			}
			res.bad, res.n = res.bad+bad, res.n+n
			scores[target] += a.score(bad, n, res.badOld, res.nOld)
		}
		results[route] = res
	}
	worst, lowest := "", leaveOut
	for target, s := range scores {
		if s < lowest {
			worst, lowest = target, s
		}
	}
	for route, res := range results {
		if c := e[route].New[worst]; c != nil && len(scores) >= minTargets {
			bucket, _ := a.lateFrom(e[route])
			bad, n := a.count(c, bucket, a.coldCounts(e[route], bucket, &res))
			res.bad, res.n = res.bad-bad, res.n-n
		}
		res.score = a.score(res.bad, res.n, res.badOld, res.nOld)
		results[route] = res
	}
	return results, len(scores)
}

// Judge judges a version on trial by the sums since it has begun to get requests and those of the last
// seconds, in which a version may have turned bad.
func Judge(whole, recent Evidence) Verdict {
	if v := findBad(whole, trialAspects, "since the beginning"); v.Kind == Bad {
		return v
	}
	if v := findBad(recent, trialAspects, "in the last seconds"); v.Kind == Bad {
		return v
	}
	if v := findSuspect(recent); v.Reason != "" {
		return v
	}
	return findGood(whole)
}

// findSuspect returns an open verdict with a reason if the last seconds alone speak against the version,
// though not yet clearly: it may have turned bad just now.
func findSuspect(recent Evidence) Verdict {
	for i := range trialAspects {
		a := &trialAspects[i]
		sum, bad, n := 0.0, 0, 0
		results, _ := a.judge(recent, failingTarget)
		for _, res := range results {
			sum, bad, n = sum+res.score, bad+res.bad, n+res.n
		}
		if sum < 0 {
			return Verdict{Reason: fmt.Sprintf("%s in the last seconds: %d of %d requests, score %.1f", a.name, bad, n, sum)}
		}
	}
	return Verdict{}
}

// JudgeLoaded judges a version that gets all requests, by its requests since then and those of the old
// version before.
func JudgeLoaded(e Evidence) Verdict { return findBad(e, loadedAspects, "with the whole load") }

// findBad returns a bad verdict if a test says so for a route or for all routes together.
func findBad(e Evidence, as []aspect, when string) Verdict {
	for i := range as {
		sum := 0.0
		results, targets := as[i].judge(e, suspectTarget)
		limit := badScore
		if targets < minTargets {
			limit = badScoreFewTargets
		}
		for _, route := range slices.Sorted(maps.Keys(results)) {
			res := results[route]
			if res.score <= limit {
				return Verdict{Kind: Bad, Reason: fmt.Sprintf("%s on route %s %s: %d of %d requests, at the old version %d of %d",
					as[i].name, route, when, res.bad, res.n, res.badOld, res.nOld)}
			}
			sum += res.score
		}
		if sum <= limit {
			return Verdict{Kind: Bad, Reason: fmt.Sprintf("%s over all routes %s, score %.1f", as[i].name, when, sum)}
		}
	}
	return Verdict{}
}

// findGood returns a good verdict if all tests say so, each with enough evidence.
func findGood(e Evidence) Verdict {
	all := 0
	for _, r := range e {
		all += int(r.Old.Requests)
	}
	for i := range trialAspects {
		a := &trialAspects[i]
		sum, usable := 0.0, i == 0
		results, _ := a.judge(e, failingTarget)
		for _, route := range slices.Sorted(maps.Keys(e)) {
			r, res := e[route], results[route]
			if !res.usable {
				continue
			}
			usable = true
			rare := float64(r.Old.Requests) < minRoutePart*float64(all)
			if res.score < routeScore || !rare && res.n < minRouteRequests {
				return Verdict{Reason: fmt.Sprintf("%s on route %s: %d of %d requests, at the old version %d of %d, score %.1f of %.1f",
					a.name, route, res.bad, res.n, res.badOld, res.nOld, res.score, routeScore)}
			}
			sum += res.score
		}
		if usable && sum < goodScore {
			return Verdict{Reason: fmt.Sprintf("%s over all routes: score %.1f of %.1f", a.name, sum, goodScore)}
		}
	}
	return Verdict{Kind: Good, Reason: fmt.Sprintf("%d requests at the new version are as good as at the old one", e.New())}
}
