package api

import (
	"expvar"
	"net/http"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/auth"
)

// WriteError is an auth.ErrorWriter that writes an error in the format of this
// API, for handlers served next to it.
func WriteError(w http.ResponseWriter, r *http.Request, err error) {
	h := &handler{Deps{Logger: log.NewNopLogger(), Calls: new(expvar.Map).Init()}}
	h.writeError(w, r, err)
}

// RequireReadAccess returns middleware that admits only calls whose token may
// read the state of all organisations. It protects handlers served next to
// this API, such as metrics.
func RequireReadAccess(tokens *auth.Tokens) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return tokens.Middleware(WriteError)(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if err := requireRead(r); err != nil {
				WriteError(w, r, err)
				return
			}
			next.ServeHTTP(w, r)
		}))
	}
}
