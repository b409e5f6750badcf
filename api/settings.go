package api

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/fuchsiahill/fuchsiahill/auth"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
	maxRevision         = 1<<63 - 1
	applyRetries        = 4
)

func (h *handler) routeSettings(r *mux.Router) {
	r.Handle("/v1/settings", h.authenticated(h.getSettings)).Methods(http.MethodGet)
	r.Handle("/v1/settings", h.authenticated(h.setSettings)).Methods(http.MethodPut)
	r.Handle("/v1/settings/unset", h.authenticated(h.unsetSettings)).Methods(http.MethodPost)
	r.Handle("/v1/settings/explain", h.authenticated(h.explainSettings)).Methods(http.MethodGet)
	r.Handle("/v1/settings/validate", h.authenticatedWithLimits(maxTreeBytes, callTimeout, h.validateSettings)).Methods(http.MethodPost)
	r.Handle("/v1/settings/history", h.authenticated(h.settingsHistory)).Methods(http.MethodGet)
	r.Handle("/v1/settings/wait", h.authenticatedWithLimits(maxBodyBytes, maxWait+callTimeout, h.wait)).Methods(http.MethodGet)
	r.Handle("/v1/data_centres", h.authenticated(h.listDataCentres)).Methods(http.MethodGet)
	r.Handle("/v1/data_centres/{name}/state", h.authenticated(h.setState)).Methods(http.MethodPut)
}

func requireRead(r *http.Request) error {
	if auth.FromContext(r.Context()).MayRead() {
		return nil
	}
	return &auth.ForbiddenError{Action: "read the state of the system"}
}

func requireWrite(r *http.Request) error {
	if auth.FromContext(r.Context()).MayWrite() {
		return nil
	}
	return &auth.ForbiddenError{Action: "change settings"}
}

func (h *handler) getSettings(r *http.Request) (any, error) {
	if err := requireRead(r); err != nil {
		return nil, err
	}
	// The time is read first, so that it belongs to this snapshot or an older one.
	confirmed := h.View.ConfirmedAt()
	current := h.View.Current()
	path := r.URL.Query().Get("path")
	value, err := settings.TreeOf(current).Get(path)
	if err != nil {
		return nil, err
	}
	return SettingsValue{Revision: current.Revision(), ConfirmedAt: confirmed, Path: path, Value: value}, nil
}

func (h *handler) setSettings(r *http.Request) (any, error) {
	var req SetRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	if len(req.Value) == 0 {
		return nil, invalidRequest("value", "missing")
	}
	return h.apply(r, settings.Change{ID: req.ID, Path: req.Path, Value: req.Value, Expect: req.Expect})
}

func (h *handler) unsetSettings(r *http.Request) (any, error) {
	var req UnsetRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	return h.apply(r, settings.Change{ID: req.ID, Path: req.Path, Expect: req.Expect})
}

func (h *handler) apply(r *http.Request, c settings.Change) (any, error) {
	if err := requireWrite(r); err != nil {
		return nil, err
	}
	c.Actor = auth.FromContext(r.Context()).Name
	rec, err := h.Editor.Apply(r.Context(), c)
	if err != nil {
		return nil, err
	}
	h.Logger.Log("event", "settings_changed", "request", requestID(r), "change", rec.ID, "who", rec.Actor,
		"path", rec.Path, "revision", rec.Revision)
	return rec, nil
}

// applyWithRetry applies a change and retries it after a conflict with a
// concurrent change of another part of the tree. A conflict about the same part
// is returned, and so is any conflict of a change that expects a revision.
func (h *handler) applyWithRetry(r *http.Request, c settings.Change) (any, error) {
	for range applyRetries {
		rec, err := h.apply(r, c)
		var conflict *settings.ConflictError
		if !errors.As(err, &conflict) || settings.PathsOverlap(conflict.Winner.Path, c.Path) {
			return rec, err
		}
	}
	return h.apply(r, c)
}

func (h *handler) explainSettings(r *http.Request) (any, error) {
	if err := requireRead(r); err != nil {
		return nil, err
	}
	q := r.URL.Query()
	leaf := settings.Leaf{
		Organisation: fleet.Organisation(q.Get("organisation")),
		DataCentre:   fleet.DataCentre(q.Get("data_centre")),
		Service:      fleet.Service(q.Get("service")),
		JobClass:     fleet.JobClass(q.Get("job_class")),
	}
	if leaf.Service != "" && leaf.JobClass != "" {
		return nil, invalidRequest("job_class", "give a service or a job class, not both")
	}
	current := h.View.Current()
	origins := settings.TreeOf(current).Explain(leaf)
	return Explanation{Revision: current.Revision(), Leaf: leaf, Values: origins}, nil
}

func (h *handler) validateSettings(r *http.Request) (any, error) {
	if err := requireRead(r); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, bodyReadError(err)
	}
	if _, err := settings.Decode(data); err != nil {
		return nil, err
	}
	return Validation{Valid: true}, nil
}

func (h *handler) settingsHistory(r *http.Request) (any, error) {
	if err := requireRead(r); err != nil {
		return nil, err
	}
	before, err := intParam(r, "before", 0, maxRevision, 0)
	if err != nil {
		return nil, err
	}
	limit, err := intParam(r, "limit", 1, maxHistoryLimit, defaultHistoryLimit)
	if err != nil {
		return nil, err
	}
	// One record more than requested shows whether there is a next page.
	records, err := h.Editor.History(r.Context(), store.Revision(before), int(limit)+1)
	if err != nil {
		return nil, err
	}
	page := History{Records: records}
	if len(records) > int(limit) {
		page.Records = records[:limit]
		page.Next = page.Records[limit-1].Revision
	}
	return page, nil
}

func (h *handler) listDataCentres(r *http.Request) (any, error) {
	if err := requireRead(r); err != nil {
		return nil, err
	}
	current := h.View.Current()
	return DataCentres{Revision: current.Revision(), DataCentres: dataCentres(current)}, nil
}

func (h *handler) setState(r *http.Request) (any, error) {
	var req StateRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	path := "data_centres." + mux.Vars(r)["name"]
	value, err := json.Marshal(req.State)
	if err != nil {
		return nil, err
	}
	rec, err := h.applyWithRetry(r, settings.Change{ID: req.ID, Path: path + ".state", Value: value, Expect: req.Expect})
	var invalid *settings.InvalidError
	if errors.As(err, &invalid) && invalid.Path == path+".region" {
		// The data centre does not exist: the change would have created one
		// without a region.
		return nil, &settings.NotFoundError{Path: path}
	}
	return rec, err
}
