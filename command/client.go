package command

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/api"
)

// maxFileBytes limits the size of files named on the command line.
const maxFileBytes = 1 << 20

// client returns the API client that the global flags configure.
func client(cmd *cli.Command) (*api.Client, error) {
	address := cmd.String(addressFlag)
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, &UsageError{Command: cmd.FullName(), Reason: "--address: " + address + " is not an http or https URL"}
	}
	token := cmd.String(tokenFlag)
	if path := cmd.String(tokenFileFlag); path != "" && token == "" {
		data, err := readFile(cmd, path)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(data))
	}
	if strings.ContainsAny(token, " \t\r\n") {
		return nil, &UsageError{Command: cmd.FullName(), Reason: "the token contains white space"}
	}
	config, err := tlsConfig(cmd)
	if err != nil {
		return nil, err
	}
	return api.NewTLSClient(address, token, config), nil
}

func tlsConfig(cmd *cli.Command) (*tls.Config, error) {
	path := cmd.String(caFlag)
	if path == "" {
		return nil, nil
	}
	data, err := readFile(cmd, path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &FileError{Path: path, Cause: &ContentError{Reason: "no PEM certificate"}}
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

// ContentError reports a file with unusable content.
type ContentError struct{ Reason string }

func (e *ContentError) Error() string { return e.Reason }

// readFile reads a file, or standard input if path is "-".
func readFile(cmd *cli.Command, path string) ([]byte, error) {
	in := cmd.Root().Reader
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, fileError(path, err)
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, fileError(path, err)
	}
	if len(data) > maxFileBytes {
		return nil, &FileError{Path: path, Cause: &ContentError{Reason: "larger than 1 MB"}}
	}
	return data, nil
}

// fileError returns a FileError without the path that errors of package os
// repeat.
func fileError(path string, err error) error {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		err = pathErr.Err
	}
	return &FileError{Path: path, Cause: err}
}

// newID returns the requested ID of a change or job, or a new one that sorts by
// time.
func newID(requested string) (string, error) {
	if requested != "" {
		return requested, nil
	}
	id, err := uuid.NewV7()
	return id.String(), err
}

// printValue prints value as JSON if the JSON flag is set. Otherwise it prints
// the output of writeText with its tabs aligned as columns.
func printValue(cmd *cli.Command, value any, writeText func(w io.Writer)) error {
	out := cmd.Root().Writer
	if !cmd.Bool(jsonFlag) {
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		writeText(table)
		return table.Flush()
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = out.Write(append(data, '\n'))
	return err
}
