package pki

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/settings"
)

// TLSConfig returns the TLS configuration of the connections between figlb's processes,
// for servers and clients alike, or nil if the settings name no certificate authority. Both
// sides present a certificate signed by the site's authority.
func TLSConfig(s settings.TLS) (*tls.Config, error) {
	if !s.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %s with key %s", s.Cert, s.Key)
	}
	text, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, errors.Wrapf(err, "read certificate authority %s", s.CA)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s contains no certificate; set ca to the site's ca.pem", s.CA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// RoleOf returns the role of the peer, from its certificate. The TLS handshake must have
// verified the certificate.
func RoleOf(state tls.ConnectionState) (Role, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errors.New("peer presented no certificate")
	}
	units := state.PeerCertificates[0].Subject.OrganizationalUnit
	if len(units) != 1 {
		return "", errors.New("peer certificate has no role; issue it with 'figlbctl cert issue'")
	}
	return Role(units[0]), nil
}
