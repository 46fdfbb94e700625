package entry

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/structs"
)

// configObject returns a configuration object with the encoded value v.
func configObject(t testing.TB, kind structs.Kind, name string, rev uint64, v any) structs.Object {
	data, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return structs.Object{Kind: kind, Name: name, ModRev: rev, Data: data}
}

// TestSnapshotDelta guards against a delta that modifies the snapshot in use by running
// requests, leaves a revoked or deleted object usable, or loses an unchanged object.
func TestSnapshotDelta(t *testing.T) {
	g := gomega.NewWithT(t)
	key := func(rev uint64, revoked bool) structs.Object {
		return configObject(t, structs.KindKey, "k1", rev, &structs.Key{ID: "k1", Hash: "h1", Organisation: "acme", Revoked: revoked})
	}
	service := func(name, prefix string) structs.Object {
		return configObject(t, structs.KindService, name, 1, &structs.Service{Name: name, Prefix: prefix})
	}
	first, err := newConfigSnapshot().applyReply(&structs.ConfirmReply{Revision: 1, Full: true, Objects: []structs.Object{
		key(1, false), service("a", "/a"), service("ab", "/a/b"),
		configObject(t, structs.KindOrganisation, "acme", 1, &structs.Organisation{Name: "acme", Rate: 1}),
	}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.plainService("/a/b/c").Name).To(gomega.Equal("ab"))

	second, err := first.applyReply(&structs.ConfirmReply{Revision: 2, Objects: []structs.Object{
		key(2, true), {Kind: structs.KindService, Name: "ab", ModRev: 2, Deleted: true},
	}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second.revoked("k1")).To(gomega.BeTrue())
	g.Expect(second.key("h1").Revoked).To(gomega.BeTrue())
	g.Expect(second.plainService("/a/b/c").Name).To(gomega.Equal("a"))
	g.Expect(second.orgs).To(gomega.HaveKey("acme"))
	g.Expect(first.revoked("k1")).To(gomega.BeFalse(), "the old snapshot is unchanged")
	g.Expect(first.plainService("/a/b/c").Name).To(gomega.Equal("ab"))

	third, err := second.applyReply(&structs.ConfirmReply{Revision: 3, Objects: []structs.Object{
		{Kind: structs.KindKey, Name: "k1", ModRev: 3, Deleted: true},
	}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(third.key("h1")).To(gomega.BeNil())
	g.Expect(third.revoked("k1")).To(gomega.BeTrue())

	full, err := third.applyReply(&structs.ConfirmReply{Revision: 9, Full: true, Objects: []structs.Object{service("a", "/a")}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(full.orgs).To(gomega.BeEmpty())
}

// BenchmarkSnapshotDelta measures the cost of a single change, up to the intended number of
// organisations.
func BenchmarkSnapshotDelta(b *testing.B) {
	for _, n := range []int{1_000, 3_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := &structs.ConfirmReply{Revision: 1, Full: true}
			for i := range n {
				org := fmt.Sprintf("org-%d", i)
				r.Objects = append(r.Objects, configObject(b, structs.KindOrganisation, org, 1, &structs.Organisation{Name: org, Rate: 1}),
					configObject(b, structs.KindKey, org, 1, &structs.Key{ID: org, Hash: org, Organisation: org}))
			}
			s, err := newConfigSnapshot().applyReply(r)
			if err != nil {
				b.Fatal(err)
			}
			delta := &structs.ConfirmReply{Revision: 2, Objects: r.Objects[:1]}
			b.ResetTimer()
			for range b.N {
				if _, err := s.applyReply(delta); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
