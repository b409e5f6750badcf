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

// Methods of the connection itself.
const (
	methodHello = "peer.hello"
	methodPing  = "peer.ping"
)

// reasonTimeout is the Reason of a handler that its deadline has cut short. It
// may have done its work or not.
const reasonTimeout = "timeout"

// hello is the first request on a connection: who calls.
type hello struct {
	From        fleet.HostID `json:"from"`
	Compression int          `json:"compression,omitempty"` // format that the caller reads, 0 for none
}

// helloReply names the host that answers.
type helloReply struct {
	Host        fleet.HostID `json:"host"`
	Compression int          `json:"compression,omitempty"` // format that the callee reads, 0 for none
}

// callMeta goes with each request.
type callMeta struct {
	TimeoutMS int64 `json:"timeout_ms"` // that the caller still waits
}

// encodeError turns a handler's error into a JSON-RPC error that carries a
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

// decodeError is the reverse of encodeError.
func decodeError(e *jsonrpc2.Error) *RemoteError {
	remote := new(RemoteError)
	if e.Data != nil && json.Unmarshal(*e.Data, remote) == nil && remote.Kind != "" {
		return remote
	}
	return &RemoteError{Kind: KindInternal, Message: e.Message}
}

// rpcLogger passes the JSON-RPC library's messages on as log events.
type rpcLogger struct{ logger log.Logger }

// Printf implements jsonrpc2.Logger. Late answers to calls that timed out are
// its usual message.
func (l rpcLogger) Printf(format string, _ ...any) {
	level.Debug(l.logger).Log("event", "rpc", "message", format)
}
