package peer_test

import (
	"crypto/tls"
	"crypto/x509"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/testca"
	"github.com/fuchsiahill/fuchsiahill/peer"
)

// tlsConfig returns the TLS configuration of a host, as client and as server.
func tlsConfig(t *testing.T, ca *testca.Authority, host string) *tls.Config {
	t.Helper()
	pair := ca.Issue(t, host)
	cert, err := tls.X509KeyPair([]byte(pair.Certificate), []byte(pair.Key))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(ca.PEM))
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

func TestCertificates(t *testing.T) {
	trusted, untrusted := testca.New(t), testca.New(t)
	tests := map[string]struct {
		caller *tls.Config
		server *tls.Config
		ok     bool
	}{
		"both valid":           {tlsConfig(t, trusted, "a"), tlsConfig(t, trusted, "b"), true},
		"caller of other name": {tlsConfig(t, trusted, "x"), tlsConfig(t, trusted, "b"), false},
		"server of other name": {tlsConfig(t, trusted, "a"), tlsConfig(t, trusted, "x"), false},
		"caller not trusted":   {tlsConfig(t, untrusted, "a"), tlsConfig(t, trusted, "b"), false},
		"no TLS":               {nil, tlsConfig(t, trusted, "b"), false},
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
				_ = asError[*peer.UnreachableError](t, err)
			}
		})
	}
}
