package stateserver

import (
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
)

// Guards against an entry host that can grant itself keys or take part in log replication.
var _ = DescribeTable("authorization by the role in the certificate",
	func(units []string, method string, allowed bool) {
		peer := tls.ConnectionState{PeerCertificates: []*x509.Certificate{{Subject: pkix.Name{OrganizationalUnit: units}}}}
		err := Authorize(peer, method)
		if allowed {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(errs.Is(err, errs.Unauthorized)).To(BeTrue())
	},
	Entry("desc: an entry may begin turns", []string{"entry"}, "turn.begin", true),
	Entry("desc: an entry may confirm its configuration", []string{"entry"}, "config.confirm", true),
	Entry("desc: an entry may not grant keys", []string{"entry"}, "key.grant", false),
	Entry("desc: an entry may not apply a configuration", []string{"entry"}, "config.apply", false),
	Entry("desc: an entry may not send log messages", []string{"entry"}, "raft", false),
	Entry("desc: an entry may not read a snapshot", []string{"entry"}, "snapshot.save", false),
	Entry("desc: an operator may grant keys", []string{"operator"}, "key.grant", true),
	Entry("desc: an operator may not send log messages", []string{"operator"}, "raft", false),
	Entry("desc: a member may send log messages", []string{"state"}, "raft", true),
	Entry("desc: no role", nil, "turn.begin", false),
	Entry("desc: an unknown role", []string{"guest"}, "turn.begin", false),
)
