package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Role determines what the holder of a certificate is allowed to do.
type Role string

// Roles of certificates.
const (
	RoleEntry    Role = "entry"
	RoleState    Role = "state"
	RoleOperator Role = "operator"
)

const (
	caLifetime   = 10 * 365 * 24 * time.Hour
	certLifetime = 365 * 24 * time.Hour
	// clockSkew is how far a peer's clock may be behind the issuer's: certificates are valid
	// from this long before they are issued.
	clockSkew = 5 * time.Minute
	keyMode   = 0o600
	certMode  = 0o644
	dirMode   = 0o700
)

// CreateCA creates a certificate authority and writes it to ca.pem and ca.key in dir. It
// fails if dir has an authority already.
func CreateCA(dir, site string) error {
	if _, err := os.Stat(filepath.Join(dir, "ca.key")); err == nil {
		return errors.Errorf("%s has a certificate authority already; choose another folder or remove it", dir)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "create folder")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	tmpl, err := newTemplate(pkix.Name{CommonName: "figlb " + site + " CA"}, caLifetime)
	if err != nil {
		return err
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	return writeCertificate(dir, "ca", tmpl, tmpl, key, key)
}

// Issue writes NAME.pem and NAME.key, signed by the authority in dir, for a process that
// is reached at the given IP addresses.
func Issue(dir, name string, role Role, ips []net.IP) error {
	ca, caKey, err := loadCA(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	tmpl, err := newTemplate(pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}}, certLifetime)
	if err != nil {
		return err
	}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	tmpl.IPAddresses = ips
	tmpl.DNSNames = []string{name}
	return writeCertificate(dir, name, tmpl, ca, key, caKey)
}

// newTemplate returns a certificate template with a random serial number.
func newTemplate(name pkix.Name, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      name,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// writeCertificate signs a certificate for key and writes both to dir, as NAME.pem and
// NAME.key.
func writeCertificate(dir, name string, tmpl, parent *x509.Certificate, key, signerKey *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signerKey)
	if err != nil {
		return errors.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	base := filepath.Join(dir, name)
	if err := writePEM(base+".key", "EC PRIVATE KEY", keyDER, keyMode); err != nil {
		return err
	}
	return writePEM(base+".pem", "CERTIFICATE", der, certMode)
}

func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrapf(os.WriteFile(path, text, mode), "write %s", path)
}

func loadCA(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certDER, err := readPEM(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := readPEM(filepath.Join(dir, "ca.key"))
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, nil, errors.Wrap(err, "parse ca.pem")
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	return cert, key, errors.Wrap(err, "parse ca.key")
}

func readPEM(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Errorf("cannot read %s: %v; create a certificate authority first with 'figlbctl cert init'", path, err)
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, errors.Errorf("%s contains no PEM block; restore it from a backup", path)
	}
	return block.Bytes, nil
}
