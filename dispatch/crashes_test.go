package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/dispatch"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

var _ = Describe("requests that crash targets", func() {
	const digest = "d1"
	crash := func(e *entry, a *structs.Assignment, digest string) {
		GinkgoHelper()
		Expect(e.Release(withTimeout(time.Second), &structs.ReleaseSlot{
			Pool: pool, Entry: e.name, Slot: a.Slot, Target: a.Target, Outcome: structs.OutcomeCrash, Digest: digest,
		})).To(Succeed())
	}
	assign := func(e *entry, id, digest string) (*structs.Assignment, error) {
		req := e.request(id)
		req.Digest = digest
		return e.Assign(withTimeout(5*time.Second), req)
	}

	// Guards against a request that is sent to several entries and crashes a target through
	// each of them, before its fingerprint is in force on all entries.
	It("are refused for all entries immediately after the second crash", func() {
		f := newFleet(1, newTopology(4, 4, 4), dispatch.Options{})
		first, _ := newEntry(f, "e1")
		second, _ := newEntry(f, "e2")
		a, err := assign(first, "r1", digest)
		Expect(err).NotTo(HaveOccurred())
		crash(first, a, digest)
		crash(first, a, digest) // a repeated release does not count again
		b, err := assign(second, "r2", digest)
		Expect(err).NotTo(HaveOccurred(), "one crash does not quarantine")
		crash(second, b, digest)
		_, err = assign(first, "r3", digest)
		Expect(errs.Is(err, errs.RequestQuarantined)).To(BeTrue())
		_, err = assign(first, "r4", "another")
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against the quarantine of a frequent request because several copies of it were
	// running on one target when the target crashed.
	It("count as one crash if several copies were running on the target", func() {
		f := newFleet(1, newTopology(1, 4, 4), dispatch.Options{})
		e, _ := newEntry(f, "e1")
		x, err := assign(e, "copy-1", digest)
		Expect(err).NotTo(HaveOccurred())
		y, err := assign(e, "copy-2", digest)
		Expect(err).NotTo(HaveOccurred())
		crash(e, x, digest)
		crash(e, y, digest)
		_, err = assign(e, "copy-3", digest)
		Expect(errs.Is(err, errs.RequestQuarantined)).To(BeFalse())
	})

	// Guards against the quarantine of a harmless request that ran twice beside the request
	// that causes the crashes.
	It("are assigned to different targets after their first crash", func() {
		f := newFleet(1, newTopology(3, 4, 4), dispatch.Options{})
		e, _ := newEntry(f, "e1")
		for _, d := range []string{"a", "b"} {
			x, err := assign(e, "first-"+d, d)
			Expect(err).NotTo(HaveOccurred())
			crash(e, x, d)
		}
		x, err := assign(e, "second-a", "a")
		Expect(err).NotTo(HaveOccurred())
		y, err := assign(e, "second-b", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(x.Target).NotTo(Equal(y.Target))
	})
})
