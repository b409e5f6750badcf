package config

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/admission"
	"github.com/fuchsiahill/fuchsiahill/auth"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/strictjson"
)

// Defaults of the configuration.
const (
	DefaultHTTPAddress      = "127.0.0.1:7400"
	DefaultPeerAddress      = "127.0.0.1:7401"
	DefaultOperatorsAddress = "127.0.0.1:7402"
	DefaultDrainTimeout     = 30 * time.Second
	DefaultMemoryMB         = 256
)

// Host is the configuration of one entry host. Addresses are IP:port.
type Host struct {
	ID         fleet.HostID     `json:"id" validate:"required,max=63"`
	Region     fleet.Region     `json:"region" validate:"required,max=63"`
	DataCentre fleet.DataCentre `json:"data_centre" validate:"required,max=63"`

	HTTPAddress      string `json:"http_address" validate:"hostport"`      // listens for callers and job callers
	PeerAddress      string `json:"peer_address" validate:"hostport"`      // listens for other entry hosts
	OperatorsAddress string `json:"operators_address" validate:"hostport"` // listens for operators, health and metrics

	AdvertiseHTTP string `json:"advertise_http,omitempty" validate:"omitempty,hostport"` // advertised to other hosts; empty: HTTPAddress
	AdvertisePeer string `json:"advertise_peer,omitempty" validate:"omitempty,hostport"` // advertised to other hosts; empty: PeerAddress

	StoreURL    string `json:"store_url" validate:"required,http_url"`
	HostListURL string `json:"host_list_url" validate:"required,http_url"`

	Tokens []auth.Token `json:"tokens,omitempty" validate:"max=1000,dive"`
	TLS    TLS          `json:"tls,omitzero"`

	DrainTimeoutMS int64 `json:"drain_timeout_ms,omitempty" validate:"gte=0,lte=600000"` // 0: DefaultDrainTimeout

	MemoryMB    int64               `json:"memory_mb,omitempty" validate:"gte=0,lte=1048576"`   // of the host; 0: DefaultMemoryMB
	Descriptors int                 `json:"descriptors,omitempty" validate:"gte=0,lte=1048576"` // for sockets; 0: the limit of the process
	Clients     admission.Overrides `json:"clients,omitzero"`                                   // of what callers may take of the host
}

// ClientLimits returns what callers may take of a host that may open a number of descriptors if the
// configuration does not say. Errors are *InvalidError.
func (h *Host) ClientLimits(descriptors int) (admission.Limits, error) {
	if h.Descriptors > 0 {
		descriptors = h.Descriptors
	}
	memoryMB := h.MemoryMB
	if memoryMB == 0 {
		memoryMB = DefaultMemoryMB
	}
	limits, err := h.Clients.Apply(admission.DefaultLimits(memoryMB<<20, descriptors))
	if err != nil {
		return limits, invalid("clients", err.Error())
	}
	return limits, nil
}

// DrainTimeout returns the maximum duration of the drain in a graceful shutdown.
func (h *Host) DrainTimeout() time.Duration {
	if h.DrainTimeoutMS == 0 {
		return DefaultDrainTimeout
	}
	return time.Duration(h.DrainTimeoutMS) * time.Millisecond
}

// AdvertisedHTTP returns the address for callers that this host advertises to
// other hosts.
func (h *Host) AdvertisedHTTP() string { return firstNonEmpty(h.AdvertiseHTTP, h.HTTPAddress) }

// AdvertisedPeer returns the peer address that this host advertises to other
// hosts.
func (h *Host) AdvertisedPeer() string { return firstNonEmpty(h.AdvertisePeer, h.PeerAddress) }

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// FileError reports a configuration file that can't be read.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("config: file %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// InvalidError reports an invalid value.
type InvalidError struct {
	Path   string // JSON path of the value in the file; empty: the whole file
	Reason string
}

func (e *InvalidError) Error() string {
	if e.Path == "" {
		return "config: " + e.Reason
	}
	return fmt.Sprintf("config: %s: %s", e.Path, e.Reason)
}

// ExposedError reports a listen address other than loopback while no token is
// configured.
type ExposedError struct {
	Path    string
	Address string
}

func (e *ExposedError) Error() string {
	return fmt.Sprintf("config: %s: %s is not a loopback address; configure tokens to use it", e.Path, e.Address)
}

func invalid(path, reason string) error {
	return eris.Wrap(&InvalidError{Path: path, Reason: reason}, "config")
}

// Default returns the default configuration.
func Default() *Host {
	return &Host{
		HTTPAddress:      DefaultHTTPAddress,
		PeerAddress:      DefaultPeerAddress,
		OperatorsAddress: DefaultOperatorsAddress,
	}
}

// Decode decodes the JSON of a configuration file; values that it omits have their
// defaults. It does not validate the result. Errors are *InvalidError.
func Decode(data []byte) (*Host, error) {
	h := Default()
	if err := strictjson.Decode(data, h); err != nil {
		var valueErr *strictjson.ValueError
		if errors.As(err, &valueErr) {
			return nil, invalid(valueErr.Path, valueErr.Reason)
		}
		return nil, invalid("", eris.Cause(err).Error())
	}
	return h, nil
}

// ReadFile reads and decodes a configuration file. Errors are *FileError and those
// of Decode.
func ReadFile(path string) (*Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err // omits the path, which FileError includes
		}
		return nil, eris.Wrap(&FileError{Path: path, Cause: err}, "config")
	}
	return Decode(data)
}

// Validate checks the whole configuration. Errors are *InvalidError,
// *ExposedError or *auth.InvalidTokenError.
func (h *Host) Validate() error {
	if err := newValidator().Struct(h); err != nil {
		return validationError(err)
	}
	if _, err := auth.NewTokens(h.Tokens); err != nil {
		return err
	}
	if _, err := h.ClientLimits(0); err != nil {
		return err
	}
	if err := h.TLS.validate(); err != nil {
		return err
	}
	return h.checkExposure()
}

func (h *Host) checkExposure() error {
	if len(h.Tokens) > 0 {
		return nil
	}
	addresses := []struct{ path, address string }{
		{"http_address", h.HTTPAddress},
		{"operators_address", h.OperatorsAddress},
		{"peer_address", h.PeerAddress},
	}
	for _, a := range addresses {
		if !isLoopback(a.address) {
			return eris.Wrap(&ExposedError{Path: a.path, Address: a.address}, "config")
		}
	}
	return nil
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}

func newValidator() *validator.Validate {
	v := strictjson.NewValidator()
	// Registration fails only for an empty tag or function.
	_ = v.RegisterValidation("hostport", func(fl validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(fl.Field().String())
		return err == nil
	})
	return v
}

func validationError(err error) error {
	fault, ok := strictjson.FirstViolation(err)
	if !ok {
		return invalid("", err.Error())
	}
	return invalid(fault.Path, faultReason(fault))
}

func faultReason(f strictjson.Violation) string {
	switch f.Rule {
	case "required", "required_if":
		return "missing"
	case "hostport":
		return fmt.Sprintf("%q is not IP:port", f.Value)
	case "http_url":
		return fmt.Sprintf("%q is not an http or https URL", f.Value)
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", f.Value, f.Param)
	case "max", "lte":
		return "above the limit of " + f.Param
	case "gte":
		return "below " + f.Param
	case "len", "hexadecimal":
		return "not a SHA-256 in 64 hex digits"
	default:
		return "not valid: " + f.Rule + " " + f.Param
	}
}
