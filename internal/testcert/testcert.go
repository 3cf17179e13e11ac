// Package testcert generates certificates for tests.
package testcert

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

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/settings"
)

// validity is how long certificates are valid after they are issued. NotBefore lies the same
// time before the issue.
const validity = time.Hour

// Authority is a certificate authority that signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority generates an authority with a self-signed certificate.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key")
	}
	cert := template(name)
	cert.IsCA, cert.BasicConstraintsValid, cert.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "sign CA certificate")
	}
	if cert, err = x509.ParseCertificate(der); err != nil {
		return nil, eris.Wrap(err, "parse CA certificate")
	}
	return &Authority{cert: cert, key: key}, nil
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
	}
}

// Files returns the paths of the certificate, key and CA files in a directory. It does not create
// them.
func Files(dir string) settings.TLS {
	return settings.TLS{
		CertFile: filepath.Join(dir, "cert.pem"),
		KeyFile:  filepath.Join(dir, "key.pem"),
		CAFile:   filepath.Join(dir, "ca.pem"),
	}
}

// Issue generates a key and a certificate for the IP address that is valid for servers and clients,
// and writes both and the certificates of the trusted authorities to files.
func (a *Authority) Issue(files settings.TLS, ip string, trusted ...*Authority) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate key")
	}
	cert := template(a.cert.Subject.CommonName + " leaf")
	cert.IPAddresses, cert.KeyUsage = []net.IP{net.ParseIP(ip)}, x509.KeyUsageDigitalSignature
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return eris.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "encode private key")
	}
	var pool []byte
	for _, t := range trusted {
		pool = append(pool, pemBlock("CERTIFICATE", t.cert.Raw)...)
	}
	for path, data := range map[string][]byte{
		files.CertFile: pemBlock("CERTIFICATE", der), files.KeyFile: pemBlock("EC PRIVATE KEY", keyDER), files.CAFile: pool,
	} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return eris.Wrap(err, "write certificate file")
		}
	}
	return nil
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
