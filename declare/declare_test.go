package declare_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/declare"
	"github.com/figlb/figlb/structs"
)

func TestDeclare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "declare")
}

const base = `
[model m1]
context_tokens = 1000

[service chat]
model = m1
class = interactive
max_output_tokens = 100

[service orders]
prefix = /orders
repeatable = false

[organisation acme]
rate = 20/s
burst = 40
`

const overlay = `
[site]
name = test

[zone a]

[host h1]
zone = a

[target t1]
host = h1
address = 127.0.0.1:9001
model = m1
slots = 4
cold_slots = 1

[target o1]
host = h1
address = 127.0.0.1:9002
service = orders
`

func parse(b, o string) (*structs.Declaration, error) {
	return declare.Parse("base.ini", []byte(b), "site.ini", []byte(o))
}

var _ = Describe("declarations", func() {
	It("accepts the example sites", func() {
		for _, site := range []string{"ng-south", "neng"} {
			d, err := declare.Load("../examples/base.ini", "../examples/"+site+".ini")
			Expect(err).NotTo(HaveOccurred(), site)
			Expect(d.Organisations).To(HaveLen(8))
			Expect(declare.Warnings(d)).To(BeEmpty())
		}
	})

	It("lets an overlay override single keys of a base section", func() {
		d, err := parse(base, overlay+"[organisation acme]\nrate = 90/m\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Organisations[0].Rate).To(BeNumerically("~", 1.5, 1e-9))
		Expect(d.Organisations[0].Burst).To(Equal(40))
	})

	It("accepts a service without a target, with a warning", func() {
		d, err := parse(base+"[service late]\nprefix = /late\n", overlay)
		Expect(err).NotTo(HaveOccurred())
		Expect(declare.Warnings(d)).To(ContainElement(ContainSubstring("service late")))
	})

	// Each row is a mistake in a declaration that would otherwise be applied, or reported
	// without its file, line and remedy.
	DescribeTable("rejects",
		func(b, o string, want ...string) {
			_, err := parse(b, o)
			Expect(err).To(HaveOccurred())
			for _, w := range want {
				Expect(err.Error()).To(ContainSubstring(w))
			}
		},
		Entry("an unknown section", base, overlay+"[tenant x]\n", "site.ini:", "[tenant x] section is unknown; use [site]"),
		Entry("an unknown key", base, overlay+"[zone b]\nsize = 4\n", "[zone b] size: key is unknown"),
		Entry("a repeated section", base, overlay+"[zone a]\n", "[zone a] section is repeated; merge"),
		Entry("a repeated key", base+"rate = 20/s\n", overlay, "base.ini:", "rate: key is repeated"),
		Entry("a repeated key with an equal value", base+"burst = 40\n", overlay, "burst: key is repeated"),
		Entry("a missing key", base, overlay+"[host h2]\n", "[host h2] zone: key is missing"),
		Entry("a reference to an undeclared zone", base, overlay+"[host h2]\nzone = nowhere\n", `zone "nowhere" is not declared; add [zone nowhere]`),
		Entry("a reference to an undeclared model", base+"[service s]\nmodel = m9\n", overlay, `model "m9" is not declared`),
		Entry("a reference to an undeclared service", base, overlay+"[target t2]\nhost = h1\naddress = 127.0.0.1:9003\nservice = none\n", `service "none" is not declared`),
		Entry("a rate without a unit", base+"[organisation b]\nrate = 20\nburst = 1\n", overlay, `"20" is not a rate; write a number and a unit`),
		Entry("a rate of zero", base+"[organisation b]\nrate = 0/s\nburst = 1\n", overlay, "is impossible"),
		Entry("a rate that is not a number", base+"[organisation b]\nrate = NaN/s\nburst = 1\n", overlay, "is impossible"),
		Entry("a burst of zero", base+"[organisation b]\nrate = 1/s\nburst = 0\n", overlay, "too small; use at least 1"),
		Entry("a duration without a unit", base+"[service s]\nprefix = /s\ntimeout = 10\n", overlay, `"10" is not a duration`),
		Entry("more cold slots than slots", base, overlay+"[target t2]\nhost = h1\naddress = 127.0.0.1:9003\nmodel = m1\nslots = 2\ncold_slots = 3\n", "exceeds slots"),
		Entry("one address for two targets", base, overlay+"[target t2]\nhost = h1\naddress = 127.0.0.1:9001\nmodel = m1\n", "is used by target t1 too"),
		Entry("a software version that only one of two targets names", base, overlay+"[target t2]\nhost = h1\naddress = 127.0.0.1:9003\nmodel = m1\nsoftware = v2\n",
			"[target t1] software: key is missing, but target t2 of the same model has it; add it to all"),
		Entry("a software version of a plain service", base, overlay+"[target t2]\nhost = h1\naddress = 127.0.0.1:9003\nservice = orders\nsoftware = v2\n", "only targets of a model have"),
		Entry("a host name instead of an IP address", base, overlay+"[target t2]\nhost = h1\naddress = localhost:9001\nmodel = m1\n", "is not ip:port"),
		Entry("a prefix that figlb serves", base+"[service s]\nprefix = /v1/x\n", overlay, "is served by figlb itself"),
		Entry("one prefix for two services", base+"[service s]\nprefix = /orders\n", overlay, "is used by service"),
		Entry("a service with model and prefix", base+"[service s]\nprefix = /s\nmodel = m1\n", overlay, "not both"),
		Entry("an open route that is not repeatable", base+"[service s]\nprefix = /s\nopen = true\n", overlay, "open to all"),
		Entry("a name that is not valid", base, overlay+"[zone B_1]\n", "is not valid"),
		Entry("a host in the base file", base+"[host h9]\nzone = a\n", overlay, "move it to the site's overlay"),
		Entry("a missing site section", base, "[zone a]\n", "[site] section is missing"),
		Entry("a section without a name", base, overlay+"[service]\nprefix = /x\n", `[service] name "" is not valid`),
		Entry("a site with a name in its header", base, strings.Replace(overlay, "[site]", "[site x]", 1), "[site x] section has a name; write [site] and a key name"),
		Entry("a site with a name in its header and no availability zone", base, "[site x]\nname = test\n", "[site x] section has a name", "has no availability zone"),
		Entry("a site with an invalid name in a section with a name", base, "[site x]\nname = A\n[zone a]\n", `name "A" is not valid`),
		Entry("an invalid key of a base section that the overlay extends", "[organisation b]\nrate = 20\nburst = 1\n", overlay+"[organisation b]\nburst = 2\n", "base.ini:2: [organisation b] rate"),
		Entry("an invalid key of the overlay in such a section", "[organisation b]\nrate = 20/s\nburst = 1\n", "[site]\nname = x\n[zone a]\n[organisation b]\nburst = 0\n", "site.ini:5: [organisation b] burst"),
		Entry("interpolation, which is taken literally", base+"[organisation b]\nrate = %(burst)s\nburst = 1\n", overlay, `"%(burst)s" is not a rate`),
	)

	It("reports all problems of both files together", func() {
		_, err := parse(base+"[service s]\n", overlay+"[host h2]\nzone = x\n[tenant y]\n")
		Expect(err.Error()).To(And(ContainSubstring("[service s]"), ContainSubstring("[host h2]"), ContainSubstring("[tenant y]")))
	})

	It("lists additions, changes and removals", func() {
		from, err := parse(base, overlay)
		Expect(err).NotTo(HaveOccurred())
		to, err := parse(base, overlay+"[zone b]\n[organisation acme]\nburst = 50\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(declare.Diff(from, to)).To(Equal([]declare.Change{
			{Action: declare.ActionChange, Kind: structs.KindOrganisation, Name: "acme",
				Fields: []declare.FieldChange{{Field: "burst", Old: 40.0, New: 50.0}}},
			{Action: declare.ActionAdd, Kind: structs.KindZone, Name: "b"},
		}))
		Expect(declare.Diff(to, from)).To(ContainElement(declare.Change{Action: declare.ActionRemove, Kind: structs.KindZone, Name: "b"}))
	})
})

// Guards against declarations that end the process instead of being refused.
func FuzzParse(f *testing.F) {
	f.Add(base, overlay)
	f.Add(base, "[site x]\nname = test\n")
	f.Add("[service s]\nprefix = /s\n", "[site]\n[service s]\nmodel = m\n")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		d, err := parse(base, overlay)
		if (d == nil) == (err == nil) {
			t.Fatalf("declaration %v and error %v", d, err)
		}
	})
}
