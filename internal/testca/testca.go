// Package testca issues short-lived certificates for tests.
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"testing"
	"time"
)

const lifetime = time.Hour

// Authority is a certificate authority.
type Authority struct {
	// PEM is the authority's own certificate.
	PEM string

	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Pair is a certificate with its private key, both in PEM.
type Pair struct {
	Certificate string
	Key         string
}

// New returns an Authority with a new key. It fails the test on an error.
func New(t testing.TB) *Authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return &Authority{PEM: encode("CERTIFICATE", der), cert: template, key: key}
}

// Issue returns a certificate for a host ID and 127.0.0.1, valid for 1 h and for
// both servers and clients. It fails the test on an error.
func (a *Authority) Issue(t testing.TB, id string) Pair {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotAfter:     time.Now().Add(lifetime),
		DNSNames:     []string{id},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return Pair{Certificate: encode("CERTIFICATE", der), Key: encode("EC PRIVATE KEY", keyDER)}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}
