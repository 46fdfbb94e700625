package rollout

import "time"

const (
	// openShareTenths is the part of the permitted share, in tenths, that the version on trial gets in
	// any case.
	openShareTenths = 9
	// spentHeadroom is the multiple of the headroom by which the share is raised, in requests over the
	// whole duration: the trial takes 0.6 to 0.8 of it. maxOpenShare bounds the share at services with few
	// requests. MayExpose keeps the bound whatever the share is.
	spentHeadroom = 1.2
	maxOpenShare  = 0.3
	// reservedHeadroom is the part of the headroom that is never granted. It covers gateways that have
	// restarted and requests that an earlier leader has granted and nobody has reported.
	reservedHeadroom = 0.1
)

// OpenShare returns the share for a version on trial. sent is the number of requests of the service since
// the order.
func OpenShare(b Bounds, sent uint64, elapsed, duration time.Duration) float64 {
	share := b.Share * openShareTenths / 10
	const minElapsed = 500 * time.Millisecond
	if elapsed < minElapsed || sent == 0 {
		return share
	}
	expected := float64(sent) * float64(duration) / float64(elapsed)
	return max(share, min(maxOpenShare, share+float64(b.Headroom)*spentHeadroom/expected))
}

// MayExpose reports whether one more request may be sent to a version on trial, after sent requests to its
// service of which exposed went to it or were granted.
func MayExpose(b Bounds, sent, exposed uint64) bool {
	return float64(exposed)+1 <= b.Share*float64(sent)+float64(b.Headroom)*(1-reservedHeadroom)
}
