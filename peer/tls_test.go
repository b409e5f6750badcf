package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/peer"
)

// authority signs certificates of hosts.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, pool: x509.NewCertPool()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	var der []byte
	a.key, der = a.sign(template, template)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.cert = cert
	a.pool.AddCert(cert)
	return a
}

func (a *authority) sign(template, parent *x509.Certificate) (*ecdsa.PrivateKey, []byte) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	signer := a.key
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	return key, der
}

// config returns the TLS settings of a host.
func (a *authority) config(host string) *tls.Config {
	key, der := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{host}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      a.pool,
		ClientCAs:    a.pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

func TestCertificates(t *testing.T) {
	trusted, stranger := newAuthority(t), newAuthority(t)
	tests := map[string]struct {
		caller *tls.Config
		server *tls.Config
		ok     bool
	}{
		"both right":           {trusted.config("a"), trusted.config("b"), true},
		"caller of other name": {trusted.config("x"), trusted.config("b"), false},
		"server of other name": {trusted.config("a"), trusted.config("x"), false},
		"caller not trusted":   {stranger.config("a"), trusted.config("b"), false},
		"no TLS":               {nil, trusted.config("b"), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ln, _ := serve(t, "127.0.0.1:0", peer.ServerOptions{TLS: test.server})
			caller := client(t, ln.Addr().String(), peer.ClientOptions{TLS: test.caller, DialTimeout: 300 * time.Millisecond})
			err := caller.Call(t.Context(), "b", "echo", echo{}, nil)
			if test.ok && err != nil {
				t.Error(err)
			}
			if !test.ok {
				_ = as[*peer.UnreachableError](t, err)
			}
		})
	}
}
