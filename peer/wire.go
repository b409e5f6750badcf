package peer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Methods that manage the connection.
const (
	methodHello = "peer.hello"
	methodPing  = "peer.ping"
)

// reasonTimeout is the Reason of the error when a handler ran into its deadline. It
// may have done its work or not.
const reasonTimeout = "timeout"

// hello is the first request on a connection. It identifies the caller.
type hello struct {
	From        fleet.HostID `json:"from"`
	Compression int          `json:"compression,omitempty"` // format that the caller can read; 0 for none
}

// helloReply is the response to a hello. It identifies the called host.
type helloReply struct {
	Host        fleet.HostID `json:"host"`
	Compression int          `json:"compression,omitempty"` // format that the called host can read; 0 for none
}

// callMeta is the metadata of each request.
type callMeta struct {
	TimeoutMS int64 `json:"timeout_ms"` // how much longer the caller waits; 0 for no limit
}

// encodeError converts a handler's error to a JSON-RPC error whose data is a
// RemoteError.
func encodeError(err error) *jsonrpc2.Error {
	var remote *RemoteError
	switch {
	case errors.As(err, &remote):
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		remote = &RemoteError{Kind: KindInternal, Reason: reasonTimeout, Message: err.Error()}
	default:
		remote = &RemoteError{Kind: KindInternal, Message: err.Error()}
	}
	out := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: remote.Message}
	if data, err := json.Marshal(remote); err == nil {
		raw := json.RawMessage(data)
		out.Data = &raw
	}
	return out
}

// decodeError is the inverse of encodeError.
func decodeError(e *jsonrpc2.Error) *RemoteError {
	remote := new(RemoteError)
	if e.Data != nil && json.Unmarshal(*e.Data, remote) == nil && remote.Kind != "" {
		return remote
	}
	return &RemoteError{Kind: KindInternal, Message: e.Message}
}

// rpcLogger writes the JSON-RPC library's messages as log events.
type rpcLogger struct{ logger log.Logger }

// Printf implements jsonrpc2.Logger. The usual message is about a late response to
// a call that has timed out.
func (l rpcLogger) Printf(format string, _ ...any) {
	level.Debug(l.logger).Log("event", "rpc", "message", format)
}
