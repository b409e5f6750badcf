package config

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/auth"
	"github.com/fuchsiahill/fuchsiahill/internal/testca"
)

var hash = auth.Hash("secret")

const minimalConfig = `{"id": "host-1", "region": "bulgaria", "data_centre": "sofia-1",
	"store_url": "http://10.1.0.1:80", "host_list_url": "https://10.1.0.2"`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// load parses a command line with the daemon's flags and returns the result of
// Load.
func load(args ...string) (*Host, error) {
	var h *Host
	cmd := &cli.Command{
		Name:  "fuchsiahilld",
		Flags: Flags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			var err error
			h, err = Load(cmd)
			return err
		},
	}
	return h, cmd.Run(context.Background(), append([]string{"fuchsiahilld"}, args...))
}

func TestPrecedence(t *testing.T) {
	file := writeFile(t, "host.json", minimalConfig+`, "http_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2", "drain_timeout_ms": 1500}`)
	t.Setenv("FUCHSIAHILL_CONFIG", file)
	t.Setenv("FUCHSIAHILL_PEER_ADDRESS", "127.0.0.1:3")
	t.Setenv("FUCHSIAHILL_ID", "host-2")
	h, err := load("--id", "host-3", "--advertise-peer", "10.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	want := Host{
		ID: "host-3", Region: "bulgaria", DataCentre: "sofia-1",
		HTTPAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:3", OperatorsAddress: DefaultOperatorsAddress,
		AdvertisePeer: "10.0.0.1:9", StoreURL: "http://10.1.0.1:80", HostListURL: "https://10.1.0.2", DrainTimeoutMS: 1500,
	}
	if h.Tokens != nil || h.ID != want.ID || h.HTTPAddress != want.HTTPAddress || h.PeerAddress != want.PeerAddress ||
		h.OperatorsAddress != want.OperatorsAddress || h.DrainTimeout() != 1500*time.Millisecond {
		t.Errorf("got %+v, want %+v", h, want)
	}
	if h.AdvertisedHTTP() != "127.0.0.1:1" || h.AdvertisedPeer() != "10.0.0.1:9" {
		t.Errorf("advertised addresses %s and %s", h.AdvertisedHTTP(), h.AdvertisedPeer())
	}
	if h, err = load("--drain-timeout", "2s"); err != nil || h.DrainTimeout() != 2*time.Second {
		t.Errorf("drain timeout of %+v, %v", h, err)
	}
	if Default().DrainTimeout() != DefaultDrainTimeout {
		t.Error("the default configuration does not have DefaultDrainTimeout")
	}
}

func TestLoadRejectsInvalid(t *testing.T) {
	tests := []struct {
		name string
		file string
		args []string
		want string
		err  any
	}{
		{"no file", "", []string{"--config", "missing.json"}, "file missing.json", new(*FileError)},
		{"invalid JSON", "{", nil, "not valid JSON", new(*InvalidError)},
		{"unknown name", `{"identity": "x"}`, nil, "identity: unknown name", new(*InvalidError)},
		{"wrong type", `{"tokens": [{"name": 7}]}`, nil, "tokens[0].name: 7 is not a string", new(*InvalidError)},
		{"no ID", `{}`, nil, "id: missing", new(*InvalidError)},
		{"host name as address", minimalConfig + `, "http_address": "localhost:80"}`, nil, `http_address: "localhost:80" is not IP:port`, new(*InvalidError)},
		{"address by flag", minimalConfig + `}`, []string{"--peer-address", "7401"}, `peer_address: "7401" is not IP:port`, new(*InvalidError)},
		{"store URL", minimalConfig + `}`, []string{"--store-url", "10.1.0.1:80"}, `store_url: "10.1.0.1:80" is not an http or https URL`, new(*InvalidError)},
		{"drain timeout", minimalConfig + `, "drain_timeout_ms": 600001}`, nil, "drain_timeout_ms: above the limit of 600000", new(*InvalidError)},
		{"role", minimalConfig + `, "tokens": [{"name": "a", "sha256": "` + hash + `", "role": "root"}]}`, nil, `tokens[0].role: "root" is not one of: operator read_only caller`, new(*InvalidError)},
		{"token in place of its hash", minimalConfig + `, "tokens": [{"name": "a", "sha256": "secret", "role": "operator"}]}`, nil, "tokens[0].sha256: not a SHA-256", new(*InvalidError)},
		{"caller without an organisation", minimalConfig + `, "tokens": [{"name": "a", "sha256": "` + hash + `", "role": "caller"}]}`, nil, "tokens[0].organisation: missing", new(*InvalidError)},
		{"exposed to callers", minimalConfig + `, "http_address": "0.0.0.0:80"}`, nil, "http_address: 0.0.0.0:80 is not a loopback address", new(*ExposedError)},
		{"exposed to operators", minimalConfig + `, "operators_address": "10.0.0.1:80"}`, nil, "operators_address", new(*ExposedError)},
		{"exposed to peers", minimalConfig + `, "peer_address": "[::]:80"}`, nil, "peer_address", new(*ExposedError)},
		{"key without certificate", minimalConfig + `, "tls": {"key": "x"}}`, nil, "tls.certificate: missing", new(*InvalidError)},
		{"certificate without key", minimalConfig + `, "tls": {"certificate": "x"}}`, nil, "tls.key: missing", new(*InvalidError)},
		{"no certificate file", minimalConfig + `, "tls": {"certificate": "missing.pem", "key": "missing.pem"}}`, nil, "tls.certificate: open missing.pem", new(*InvalidError)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			args := tt.args
			if tt.file != "" {
				args = append(args, "--config", writeFile(t, "host.json", tt.file))
			}
			_, err := load(args...)
			if !errors.As(err, tt.err) || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want %T with %q", err, tt.err, tt.want)
			}
		})
	}
}

func TestTokensAllowOtherAddresses(t *testing.T) {
	file := writeFile(t, "host.json", minimalConfig+`, "http_address": "0.0.0.0:80",
		"tokens": [{"name": "a", "sha256": "`+hash+`", "role": "caller", "organisation": "balkantrans"}]}`)
	if _, err := load("--config", file); err != nil {
		t.Error(err)
	}
}

// issueCertificate returns the key material of a host with a certificate signed by
// ca.
func issueCertificate(t *testing.T, ca *testca.Authority) TLS {
	t.Helper()
	pair := ca.Issue(t, "entry-1")
	return TLS{Certificate: pair.Certificate, Key: pair.Key, CA: ca.PEM}
}

func TestMutualTLS(t *testing.T) {
	ca, otherCA := testca.New(t), testca.New(t)
	server, peer, otherCAPeer := issueCertificate(t, ca), issueCertificate(t, ca), issueCertificate(t, otherCA)
	fromFile := TLS{Certificate: writeFile(t, "cert.pem", peer.Certificate), Key: writeFile(t, "key.pem", peer.Key), CA: writeFile(t, "ca.pem", ca.PEM)}
	mismatchedCA := otherCAPeer
	mismatchedCA.CA = ca.PEM
	tests := []struct {
		name   string
		server TLS
		client TLS
		ok     bool
	}{
		{"peer", server, peer, true},
		{"peer with files", server, fromFile, true},
		{"client of another CA", server, mismatchedCA, false},
		{"server of another CA", mismatchedCA, peer, false},
		{"client that trusts another CA", server, otherCAPeer, false},
		{"client without a certificate", server, TLS{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			serverConfig, err := tt.server.PeerServerConfig()
			if err != nil {
				t.Fatal(err)
			}
			clientConfig, err := tt.client.PeerClientConfig()
			if err != nil {
				t.Fatal(err)
			}
			if clientConfig == nil {
				clientConfig = &tls.Config{InsecureSkipVerify: true}
			}
			if got := exchangeByte(t, serverConfig, clientConfig); (got == nil) != tt.ok {
				t.Errorf("exchange ended with %v", got)
			}
		})
	}
	if plain, err := (TLS{}).ServerConfig(); plain != nil || err != nil {
		t.Errorf("configuration without a certificate: %v, %v", plain, err)
	}
	if callers, err := server.ServerConfig(); err != nil || callers.ClientAuth != tls.NoClientCert {
		t.Errorf("the server requires a certificate from callers: %v", err)
	}
}

// exchangeByte sends a byte from a TLS client to a server on loopback and reads it
// back.
func exchangeByte(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := tls.NewListener(plain, server)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		data := make([]byte, 1)
		if _, err := conn.Read(data); err == nil {
			_, _ = conn.Write(data)
		}
	}()
	conn, err := tls.Dial("tcp", ln.Addr().String(), client)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 1))
	return err
}
