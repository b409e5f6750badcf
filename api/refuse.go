package api

import (
	"net/http"

	"github.com/go-kit/log"
)

// Refuse is an auth.ErrorWriter that answers in the form of this interface,
// for handlers beside it.
func Refuse(w http.ResponseWriter, r *http.Request, err error) {
	h := &handler{Deps{Logger: log.NewNopLogger()}}
	h.fail(w, r, err)
}
