package config

import (
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const fileFlag = "config"

// option is a value that a flag or an environment variable can override.
type option struct {
	flag  string
	env   string
	usage string
	set   func(h *Host, value string)
}

var options = []option{
	{"id", "FUCHSIAHILL_ID", "ID of this host, stable across restarts", func(h *Host, v string) { h.ID = fleet.HostID(v) }},
	{"region", "FUCHSIAHILL_REGION", "region of this host", func(h *Host, v string) { h.Region = fleet.Region(v) }},
	{"data-centre", "FUCHSIAHILL_DATA_CENTRE", "data centre of this host", func(h *Host, v string) { h.DataCentre = fleet.DataCentre(v) }},
	{"http-address", "FUCHSIAHILL_HTTP_ADDRESS", "IP:port to listen on for callers", func(h *Host, v string) { h.HTTPAddress = v }},
	{"peer-address", "FUCHSIAHILL_PEER_ADDRESS", "IP:port to listen on for other entry hosts", func(h *Host, v string) { h.PeerAddress = v }},
	{"operators-address", "FUCHSIAHILL_OPERATORS_ADDRESS", "IP:port to listen on for operators, health and metrics", func(h *Host, v string) { h.OperatorsAddress = v }},
	{"advertise-http", "FUCHSIAHILL_ADVERTISE_HTTP", "IP:port advertised to other hosts instead of http-address", func(h *Host, v string) { h.AdvertiseHTTP = v }},
	{"advertise-peer", "FUCHSIAHILL_ADVERTISE_PEER", "IP:port advertised to other hosts instead of peer-address", func(h *Host, v string) { h.AdvertisePeer = v }},
	{"store-url", "FUCHSIAHILL_STORE_URL", "URL of the platform's key-value service", func(h *Host, v string) { h.StoreURL = v }},
	{"host-list-url", "FUCHSIAHILL_HOST_LIST_URL", "URL of the platform's host list", func(h *Host, v string) { h.HostListURL = v }},
	{"tls-certificate", "FUCHSIAHILL_TLS_CERTIFICATE", "certificate, PEM or path", func(h *Host, v string) { h.TLS.Certificate = v }},
	{"tls-key", "FUCHSIAHILL_TLS_KEY", "private key, PEM or path", func(h *Host, v string) { h.TLS.Key = v }},
	{"tls-ca", "FUCHSIAHILL_TLS_CA", "CA of all entry hosts, PEM or path", func(h *Host, v string) { h.TLS.CA = v }},
}

const drainFlag = "drain-timeout"

// Flags returns the daemon's flags. Each can also be set by an environment
// variable.
func Flags() []cli.Flag {
	flags := []cli.Flag{&cli.StringFlag{
		Name:    fileFlag,
		Usage:   "JSON file with the configuration",
		Sources: cli.EnvVars("FUCHSIAHILL_CONFIG"),
	}}
	for _, o := range options {
		flags = append(flags, &cli.StringFlag{Name: o.flag, Usage: o.usage, Sources: cli.EnvVars(o.env)})
	}
	return append(flags, &cli.DurationFlag{
		Name:    drainFlag,
		Usage:   "maximum duration of the drain in a graceful shutdown",
		Sources: cli.EnvVars("FUCHSIAHILL_DRAIN_TIMEOUT"),
	})
}

// Load returns the validated configuration from the flags, environment and file of
// a command that has Flags. Errors are those of ReadFile and Validate.
func Load(cmd *cli.Command) (*Host, error) {
	h := Default()
	if path := cmd.String(fileFlag); path != "" {
		read, err := ReadFile(path)
		if err != nil {
			return nil, err
		}
		h = read
	}
	for _, o := range options {
		if cmd.IsSet(o.flag) {
			o.set(h, cmd.String(o.flag))
		}
	}
	if cmd.IsSet(drainFlag) {
		h.DrainTimeoutMS = int64(cmd.Duration(drainFlag) / time.Millisecond)
	}
	if err := h.Validate(); err != nil {
		return nil, err
	}
	return h, nil
}
