package config

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
)

// TLS is the host's key material. Each value is PEM text or the path of a
// PEM file. All are empty or Certificate and Key are given; a CA makes the
// connections between hosts mutually authenticated.
type TLS struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	CA          string `json:"ca,omitempty"` // signs the certificates of all entry hosts
}

// Enabled reports whether the host speaks TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

func (t TLS) validate() error {
	switch {
	case t == TLS{}:
		return nil
	case t.Certificate == "":
		return invalid("tls.certificate", "missing")
	case t.Key == "":
		return invalid("tls.key", "missing")
	}
	_, err := t.load()
	return err
}

type material struct {
	certificate tls.Certificate
	pool        *x509.CertPool // nil without a CA
}

func (t TLS) load() (material, error) {
	cert, err := readPEM("tls.certificate", t.Certificate)
	if err != nil {
		return material{}, err
	}
	key, err := readPEM("tls.key", t.Key)
	if err != nil {
		return material{}, err
	}
	m := material{}
	if m.certificate, err = tls.X509KeyPair(cert, key); err != nil {
		return material{}, invalid("tls.certificate", err.Error())
	}
	if t.CA == "" {
		return m, nil
	}
	ca, err := readPEM("tls.ca", t.CA)
	if err != nil {
		return material{}, err
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(ca) {
		return material{}, invalid("tls.ca", "no PEM certificate")
	}
	return m, nil
}

func readPEM(path, value string) ([]byte, error) {
	if strings.Contains(value, "-----BEGIN ") {
		return []byte(value), nil
	}
	data, err := os.ReadFile(value)
	if err != nil {
		return nil, invalid(path, err.Error())
	}
	return data, nil
}

// ServerConfig returns the configuration of the HTTP listeners, or nil without
// TLS. Callers authenticate by token.
func (t TLS) ServerConfig() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	m, err := t.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{m.certificate}}, nil
}

// PeerServerConfig returns the configuration of the listener for other entry
// hosts, or nil without TLS. With a CA, only holders of a certificate of the
// CA are let in.
func (t TLS) PeerServerConfig() (*tls.Config, error) {
	c, m, err := t.peer()
	if c == nil || err != nil {
		return nil, err
	}
	if m.pool != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = m.pool
	}
	return c, nil
}

// PeerClientConfig returns the configuration of connections to other entry hosts,
// or nil without TLS. Certificates name the ID of their host, as a DNS name.
func (t TLS) PeerClientConfig() (*tls.Config, error) {
	c, m, err := t.peer()
	if c == nil || err != nil {
		return nil, err
	}
	c.RootCAs = m.pool
	return c, nil
}

func (t TLS) peer() (*tls.Config, material, error) {
	if !t.Enabled() {
		return nil, material{}, nil
	}
	m, err := t.load()
	if err != nil {
		return nil, material{}, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate}}, m, nil
}
