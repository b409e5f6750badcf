package peer

import (
	"expvar"

	"github.com/sourcegraph/jsonrpc2"
)

// traffic counts calls and their bytes by method. The bytes are those of requests
// and responses with their frame headers. Only the calling side counts, so that
// the traffic of several hosts can be summed.
type traffic struct {
	bytes *expvar.Map
	calls *expvar.Map
	vars  *expvar.Map
}

func newTraffic() *traffic {
	t := &traffic{
		bytes: new(expvar.Map).Init(),
		calls: new(expvar.Map).Init(),
		vars:  new(expvar.Map).Init(),
	}
	t.vars.Set("bytes", t.bytes)
	t.vars.Set("calls", t.calls)
	return t
}

// connOptions returns the connection options that count the traffic over st. The
// library calls OnSend before it writes a message and OnRecv after it has read one.
func (t *traffic) connOptions(st *stream) []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{
		jsonrpc2.OnSend(func(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
			if req == nil {
				return
			}
			st.onWritten = func(bytes int) { t.bytes.Add(req.Method, int64(bytes)) }
			t.calls.Add(req.Method, 1)
		}),
		jsonrpc2.OnRecv(func(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
			if req != nil && resp != nil {
				t.bytes.Add(req.Method, int64(st.lastReadBytes))
			}
		}),
	}
}

// Vars returns the numbers of bytes and calls by method, for publishing with
// expvar.
func (c *Client) Vars() *expvar.Map { return c.traffic.vars }
