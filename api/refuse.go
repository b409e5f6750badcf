package api

import (
	"expvar"
	"net/http"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/auth"
)

// Refuse is an auth.ErrorWriter that answers in the form of this interface,
// for handlers beside it.
func Refuse(w http.ResponseWriter, r *http.Request, err error) {
	h := &handler{Deps{Logger: log.NewNopLogger(), Calls: new(expvar.Map).Init()}}
	h.fail(w, r, err)
}

// Readers lets only calls through whose token may read what concerns all
// organisations, for handlers beside this interface such as metrics.
func Readers(tokens *auth.Tokens) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return tokens.Middleware(Refuse)(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if err := mayRead(r); err != nil {
				Refuse(w, r, err)
				return
			}
			next.ServeHTTP(w, r)
		}))
	}
}
