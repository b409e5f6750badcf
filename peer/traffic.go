package peer

import (
	"expvar"

	"github.com/sourcegraph/jsonrpc2"
)

// traffic counts the bytes of calls by method, requests and answers with
// their frames. Only callers count, so that the traffic of several hosts can
// be added up.
type traffic struct {
	bytes *expvar.Map
	calls *expvar.Map
	all   *expvar.Map
}

func newTraffic() *traffic {
	t := &traffic{
		bytes: new(expvar.Map).Init(),
		calls: new(expvar.Map).Init(),
		all:   new(expvar.Map).Init(),
	}
	t.all.Set("bytes", t.bytes)
	t.all.Set("calls", t.calls)
	return t
}

// observe returns the options by which a connection over st is counted. The
// library names a message before it writes it, and after it has read it.
func (t *traffic) observe(st *stream) []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{
		jsonrpc2.OnSend(func(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
			if req == nil {
				return
			}
			st.written = func(bytes int) { t.bytes.Add(req.Method, int64(bytes)) }
			t.calls.Add(req.Method, 1)
		}),
		jsonrpc2.OnRecv(func(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
			if req != nil && resp != nil {
				t.bytes.Add(req.Method, int64(st.lastRead))
			}
		}),
	}
}

// Vars returns the bytes and calls by method, for publishing with expvar.
func (c *Client) Vars() *expvar.Map { return c.traffic.all }
