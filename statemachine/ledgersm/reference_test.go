package ledgersm

import (
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// keepReference settles a turn whose body is on store hosts.
func keepReference(m *Machine, now time.Duration, id, previous, body string) Verdict {
	return apply(m, now, Command{Settle: &Settle{Org: "acme", Program: "p", Attempt: id, Keep: true, Previous: previous,
		Retention: time.Minute, Body: &BodyRef{Key: body, Size: 9, Checksum: 7}}}).Verdict
}

// ref is the part that refers to a body of keepReference.
func ref(body string) Part { return Part{Ref: &BodyRef{Key: body, Size: 9, Checksum: 7}} }

func inline(s string) Part { return Part{Inline: []byte(s)} }

var _ = Describe("references to bodies", func() {
	const body1, body2 = "acme\x001\x00aa", "acme\x004\x00bb"
	var m *Machine
	BeforeEach(func() { // a chain of a reference, two turns in the ledger and a reference
		m = New()
		Expect(keepReference(m, 0, "1", "", body1)).To(Equal(OK))
		keepTurn(m, 0, "acme", "2", "1", "in2", "out2")
		keepTurn(m, 0, "acme", "3", "2", "in3", "out3")
		Expect(keepReference(m, 0, "4", "3", body2)).To(Equal(OK))
	})

	// Guards against a history without the turns of which the ledger holds only a reference, also after a
	// restart of all members.
	It("are part of the history, in the order of the turns", func() {
		data, err := m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := New()
		Expect(restored.Restore(data)).To(Succeed())
		for _, m := range []*Machine{m, restored} {
			parts, ok := m.Parts("acme", "4")
			Expect(ok).To(BeTrue())
			Expect(parts).To(Equal([]Part{ref(body1), inline("in2out2in3out3"), ref(body2)}))
			Expect(m.RefersTo(body1)).To(BeTrue())
		}
	})

	// Guards against a body that store hosts remove while the ledger refers to it, and against one that
	// they keep for ever: of another run of the attempt, of a turn that the ledger holds itself, or of a
	// turn that has expired.
	It("are known as long as their turn is stored", func() {
		Expect(m.RefersTo(body2)).To(BeTrue())
		for _, unknown := range []string{"acme\x001\x00bb", "acme\x002\x00aa", "other\x001\x00aa", "acme\x001", ""} {
			Expect(m.RefersTo(unknown)).To(BeFalse(), unknown)
		}
		Expect(keepReference(m, 50*time.Second, "5", "4", "acme\x005\x00cc")).To(Equal(OK))
		Expect(continueTurn(m, 100*time.Second, "x", "", 0)).To(Equal(OK)) // time passes
		Expect(m.RefersTo(body1)).To(BeTrue(), "a later turn continues from it")
		Expect(continueTurn(m, 120*time.Second, "y", "", 0)).To(Equal(OK))
		Expect(m.RefersTo(body1)).To(BeFalse())
		Expect(m.Bytes()).To(BeZero())
	})

	// Guards against a turn that is stored twice, and against one that refers to the body of a later run of
	// its attempt after its caller has seen the end of the first.
	It("stay as they were when their turn is settled again", func() {
		bytes := m.Bytes()
		Expect(keepReference(m, 0, "4", "3", body2)).To(Equal(OK))
		Expect(keepReference(m, 0, "4", "3", "acme\x004\x00other")).To(Equal(OK))
		keepTurn(m, 0, "acme", "4", "3", "in4", "out4")
		Expect(m.Bytes()).To(Equal(bytes))
		parts, _ := m.Parts("acme", "4")
		Expect(parts[2]).To(Equal(ref(body2)))
		Expect(keepReference(m, 0, "6", "unknown", "acme\x006\x00dd")).To(Equal(UnknownTurn))
	})
})

// Guards against states, and settlements in their blocks, that members of build eb04025, or of this one, would not read from each other. The
// file is a snapshot of that build after the same commands; a map with one entry has one encoding.
var _ = Describe("the state without references", func() {
	It("is encoded as in build eb04025", func() {
		want, err := os.ReadFile("testdata/eb04025.snapshot")
		Expect(err).NotTo(HaveOccurred())
		m := New()
		apply(m, time.Second, Command{Reserve: &Reserve{Org: "acme", Program: "p", Attempt: "1", Budget: 100, Tokens: 10, Retention: time.Minute,
			Hold: time.Second, WillKeep: true, Stream: &StreamRecord{Source: StreamSource{Service: "s", Version: "v1"}, Revision: 1, Keep: time.Minute}}})
		apply(m, time.Second, Command{Settle: &Settle{Org: "acme", Program: "p", Attempt: "1", Tokens: 5, Keep: true,
			Input: []byte("in"), Output: []byte("out"), Retention: time.Minute}})
		Expect(m.Snapshot()).To(Equal(want))
		restored := New()
		Expect(restored.Restore(want)).To(Succeed())
		Expect(keepReference(restored, time.Second, "2", "1", "acme\x002\x00aa")).To(Equal(OK))
		parts, ok := restored.Parts("acme", "2")
		Expect(ok).To(BeTrue())
		Expect(parts).To(Equal([]Part{inline("inout"), ref("acme\x002\x00aa")}))
	})
})
