package config

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
)

// TLS is the host's key material. Each value is PEM text or the path of a
// PEM file. Either all values are empty, or Certificate and Key are set. With a
// CA, connections between hosts use mutual authentication.
type TLS struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	CA          string `json:"ca,omitempty"` // signs the certificates of all entry hosts
}

// Enabled reports whether the host uses TLS.
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

type keyMaterial struct {
	certificate tls.Certificate
	pool        *x509.CertPool // nil without a CA
}

func (t TLS) load() (keyMaterial, error) {
	cert, err := readPEM("tls.certificate", t.Certificate)
	if err != nil {
		return keyMaterial{}, err
	}
	key, err := readPEM("tls.key", t.Key)
	if err != nil {
		return keyMaterial{}, err
	}
	m := keyMaterial{}
	if m.certificate, err = tls.X509KeyPair(cert, key); err != nil {
		return keyMaterial{}, invalid("tls.certificate", err.Error())
	}
	if t.CA == "" {
		return m, nil
	}
	ca, err := readPEM("tls.ca", t.CA)
	if err != nil {
		return keyMaterial{}, err
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(ca) {
		return keyMaterial{}, invalid("tls.ca", "no PEM certificate")
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
// TLS. It requires no client certificate, since callers authenticate by token.
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
// hosts, or nil without TLS. With a CA, it accepts only clients with a
// certificate signed by the CA.
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
// or nil without TLS. Each host's certificate must have its host ID as a DNS name.
func (t TLS) PeerClientConfig() (*tls.Config, error) {
	c, m, err := t.peer()
	if c == nil || err != nil {
		return nil, err
	}
	c.RootCAs = m.pool
	return c, nil
}

func (t TLS) peer() (*tls.Config, keyMaterial, error) {
	if !t.Enabled() {
		return nil, keyMaterial{}, nil
	}
	m, err := t.load()
	if err != nil {
		return nil, keyMaterial{}, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate}}, m, nil
}
