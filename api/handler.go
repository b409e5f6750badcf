package api

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/fuchsiahill/fuchsiahill/auth"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/strictjson"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// maxBodyBytes limits the body of every call except the validation of a
	// settings tree.
	maxBodyBytes = 64 << 10
	maxTreeBytes = store.MaxValueBytes
	// callTimeout bounds a call that has no timeout of its own.
	callTimeout = 10 * time.Second

	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute

	requestIDHeader    = "X-Request-Id"
	maxRequestIDLength = 64
)

// ShardLister lists the shards that the settings in force define, each with its
// owner as this host knows it.
type ShardLister interface {
	Shards() []Shard
}

// Health reports the state of this process. Each method returns nil, or an
// error with the reason why the process is not live or not ready.
type Health interface {
	Live() error
	Ready() error
}

// Deps holds the dependencies of the handler. All fields except Logger and
// Calls are required.
type Deps struct {
	Self    fleet.HostID
	Jobs    job.Service
	Editor  *settings.Editor
	View    settings.View
	Members member.Directory
	Shards  ShardLister
	Health  Health
	Tokens  *auth.Tokens
	Logger  log.Logger  // nil: no logs
	Calls   *expvar.Map // responses by code, "ok" for successes; nil: not counted
}

type handler struct{ Deps }

// NewHandler returns the handler of the API for operators and job callers. It
// is safe for concurrent use.
func NewHandler(d Deps) http.Handler {
	if d.Logger == nil {
		d.Logger = log.NewNopLogger()
	}
	if d.Calls == nil {
		d.Calls = new(expvar.Map).Init()
	}
	h := &handler{d}
	root := mux.NewRouter().UseEncodedPath()
	root.NotFoundHandler = h.withLimits(maxBodyBytes, callTimeout, noSuchResource)
	root.MethodNotAllowedHandler = h.withLimits(maxBodyBytes, callTimeout, methodNotAllowed)
	root.HandleFunc("/livez", h.live).Methods(http.MethodGet)
	root.HandleFunc("/readyz", h.ready).Methods(http.MethodGet)
	h.routeSettings(root)
	h.routeFleet(root)
	h.routeJobs(root)
	return withRequestID(root)
}

// NewServer returns a server for h with limits on the header size and with
// timeouts. The caller sets the address and TLS, and starts the server.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// endpoint handles one call and returns a value to encode or an error.
type endpoint func(r *http.Request) (any, error)

// authenticated returns a handler that requires a known token and applies the
// default limits.
func (h *handler) authenticated(e endpoint) http.Handler {
	return h.authenticatedWithLimits(maxBodyBytes, callTimeout, e)
}

// authenticatedWithLimits returns a handler that requires a known token and
// limits the body size and the duration of the call.
func (h *handler) authenticatedWithLimits(bytes int64, timeout time.Duration, e endpoint) http.Handler {
	return h.Tokens.Middleware(h.writeError)(h.withLimits(bytes, timeout, e))
}

// withLimits returns a handler that limits the body size and the duration of
// the call. It requires no token.
func (h *handler) withLimits(bytes int64, timeout time.Duration, e endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		r = r.WithContext(ctx)
		err := bufferBody(w, r, bytes)
		var value any
		if err == nil {
			value, err = e(r)
		}
		if err != nil {
			h.writeError(w, r, err)
			return
		}
		h.Calls.Add("ok", 1)
		h.logCall(r, http.StatusOK, nil)
		writeJSON(w, http.StatusOK, value)
	}
}

// writeError writes err as the response.
func (h *handler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	e := *toAPIError(err)
	e.RequestID = w.Header().Get(requestIDHeader)
	h.Calls.Add(string(e.Code), 1)
	h.logCall(r, e.Status, err)
	switch e.Status {
	case http.StatusUnauthorized:
		w.Header().Set("WWW-Authenticate", "Bearer")
	case http.StatusServiceUnavailable:
		w.Header().Set("Retry-After", e.retryAfterSeconds())
	}
	writeJSON(w, e.Status, &e)
}

// logCall logs a call. Successful reads are not logged.
func (h *handler) logCall(r *http.Request, status int, err error) {
	if err == nil && r.Method == http.MethodGet {
		return
	}
	fields := []any{
		"event", "api_call", "request", requestID(r), "who", auth.FromContext(r.Context()).Name,
		"method", r.Method, "path", r.URL.Path, "status", status,
	}
	if err != nil {
		fields = append(fields, "err", err)
	}
	h.Logger.Log(fields...)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"code":"internal","message":"answer can't be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(data, '\n'))
}

// decodeBody decodes the JSON body of a call and rejects unknown names.
func decodeBody(r *http.Request, target any) error {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return bodyReadError(err)
	}
	return strictjson.Decode(data, target)
}

func bodyReadError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return err
	}
	return invalidRequest("body", "not received whole")
}

// intParam returns a query parameter, which must be a whole number from minimum
// to maximum, or defaultValue if the parameter is absent.
func intParam(r *http.Request, name string, minimum, maximum, defaultValue int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < minimum || n > maximum {
		return 0, outOfRange(name, "not a whole number in range", fmt.Sprintf("%d to %d", minimum, maximum))
	}
	return n, nil
}

type requestIDKey struct{}

func requestID(r *http.Request) string {
	id, _ := r.Context().Value(requestIDKey{}).(string)
	return id
}

// withRequestID gives each call an ID, the caller's if that is valid, and
// returns it in the response.
func withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(requestIDHeader)
		if !isValidRequestID(id) {
			id = uuid.NewString()
		}
		w.Header().Set(requestIDHeader, id)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

func isValidRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
		return false
	}
	for _, c := range id {
		if c <= ' ' || c > '~' || c == '"' || c == '=' {
			return false
		}
	}
	return true
}

func noSuchResource(r *http.Request) (any, error) {
	return nil, &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: "no resource " + r.URL.Path}
}

func methodNotAllowed(r *http.Request) (any, error) {
	message := r.Method + " is not allowed on " + r.URL.Path
	return nil, &Error{Status: http.StatusMethodNotAllowed, Code: CodeInvalid, Message: message}
}

func (h *handler) live(w http.ResponseWriter, _ *http.Request)  { writeHealth(w, h.Health.Live()) }
func (h *handler) ready(w http.ResponseWriter, _ *http.Request) { writeHealth(w, h.Health.Ready()) }

func writeHealth(w http.ResponseWriter, err error) {
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, &Error{Code: CodeUnavailable, Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		OK bool `json:"ok"`
	}{true})
}
