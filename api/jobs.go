package api

import (
	"fmt"
	"net/http"
	"net/url"
	"regexp"
	"sync"

	"github.com/gorilla/mux"

	"github.com/fuchsiahill/fuchsiahill/auth"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/strictjson"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

const (
	defaultJobsLimit = 100
	maxJobsLimit     = 1000
)

// jobIDPattern is the format of a job ID. A task ID is the job ID followed by a
// slash and a number.
var jobIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

const jobIDForm = "1 to 64 of A-Z, a-z, 0-9, '.', '_' and '-', beginning with a letter or digit"

func (h *handler) routeJobs(r *mux.Router) {
	r.Handle("/v1/jobs", h.authenticated(h.submit)).Methods(http.MethodPost)
	r.Handle("/v1/teams/{team}/jobs", h.authenticated(h.listJobs)).Methods(http.MethodGet)
	r.Handle("/v1/teams/{team}/jobs/{id}", h.authenticated(h.getJob)).Methods(http.MethodGet)
	r.Handle("/v1/teams/{team}/jobs/{id}/cancel", h.authenticated(h.cancelJob)).Methods(http.MethodPost)
}

func (h *handler) submit(r *http.Request) (any, error) {
	var spec job.Spec
	if err := decodeBody(r, &spec); err != nil {
		return nil, err
	}
	if err := validateSpec(spec); err != nil {
		return nil, err
	}
	if !auth.FromContext(r.Context()).MaySubmit(spec.Organisation) {
		return nil, &auth.ForbiddenError{Action: "submit jobs of organisation " + string(spec.Organisation)}
	}
	// The settings, not the caller, determine the organisation of a team: a
	// caller must not reach another organisation's team by naming its own
	// organisation.
	team, ok, err := h.team(spec.Team)
	switch {
	case err != nil:
		return nil, err
	case !ok || team.Organisation != spec.Organisation:
		return nil, invalidRequest("team", "no such team of organisation "+string(spec.Organisation))
	}
	status, err := h.Jobs.Submit(r.Context(), spec)
	if err != nil {
		return nil, err
	}
	h.Logger.Log("event", "job_submitted", "request", requestID(r), "job", spec.ID, "team", spec.Team, "tasks", spec.Tasks)
	return status, nil
}

// team returns a team of the settings in force. A host without confirmed
// settings returns an error instead of reporting that the team does not exist.
func (h *handler) team(name fleet.Team) (settings.Team, bool, error) {
	// Read before the settings, so that the settings are at least as new as the
	// confirmation.
	unconfirmed := h.View.ConfirmedAt().IsZero()
	team, ok := h.View.Current().Teams()[name]
	if !ok && unconfirmed {
		return team, false, &job.UnavailableError{Reason: "settings not known yet", RetryAfter: defaultRetryAfter}
	}
	return team, ok, nil
}

var specValidator = sync.OnceValue(strictjson.NewValidator)

// validateSpec rejects what no settings could allow.
func validateSpec(spec job.Spec) error {
	if !jobIDPattern.MatchString(string(spec.ID)) {
		return outOfRange("id", "not a job ID", jobIDForm)
	}
	err := specValidator().Struct(spec)
	fault, ok := strictjson.FirstViolation(err)
	switch {
	case err == nil:
		return nil
	case !ok:
		return invalidRequest("job", err.Error())
	case fault.Rule == "required":
		return invalidRequest(fault.Path, "missing")
	default:
		return invalidRequest(fault.Path, fmt.Sprintf("breaks the limit %s %s", fault.Rule, fault.Param))
	}
}

// authorisedTeam returns the team of a call if the identity may act on it. The
// response to a caller does not reveal whether another organisation's team
// exists.
func (h *handler) authorisedTeam(r *http.Request, allowed func(auth.Identity, fleet.Organisation) bool) (fleet.Team, error) {
	name, err := pathVar(r, "team")
	if err != nil {
		return "", err
	}
	team, ok, err := h.team(fleet.Team(name))
	switch {
	case err != nil:
		return "", err
	case !allowed(auth.FromContext(r.Context()), team.Organisation):
		return "", &auth.ForbiddenError{Action: "act on jobs of team " + name}
	case !ok:
		return "", &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: "no team " + name}
	}
	return fleet.Team(name), nil
}

func pathVar(r *http.Request, name string) (string, error) {
	value, err := url.PathUnescape(mux.Vars(r)[name])
	if err != nil {
		return "", invalidRequest(name, "not a path segment")
	}
	return value, nil
}

func (h *handler) authorisedJob(r *http.Request, allowed func(auth.Identity, fleet.Organisation) bool) (fleet.Team, fleet.JobID, error) {
	team, err := h.authorisedTeam(r, allowed)
	if err != nil {
		return "", "", err
	}
	id, err := pathVar(r, "id")
	return team, fleet.JobID(id), err
}

func (h *handler) listJobs(r *http.Request) (any, error) {
	team, err := h.authorisedTeam(r, auth.Identity.MaySee)
	if err != nil {
		return nil, err
	}
	limit, err := intParam(r, "limit", 1, maxJobsLimit, defaultJobsLimit)
	if err != nil {
		return nil, err
	}
	return h.Jobs.List(r.Context(), job.ListQuery{Team: team, After: r.URL.Query().Get("after"), Limit: int(limit)})
}

func (h *handler) getJob(r *http.Request) (any, error) {
	team, id, err := h.authorisedJob(r, auth.Identity.MaySee)
	if err != nil {
		return nil, err
	}
	return h.Jobs.Get(r.Context(), team, id)
}

func (h *handler) cancelJob(r *http.Request) (any, error) {
	team, id, err := h.authorisedJob(r, auth.Identity.MaySubmit)
	if err != nil {
		return nil, err
	}
	status, err := h.Jobs.Cancel(r.Context(), team, id)
	if err != nil {
		return nil, err
	}
	h.Logger.Log("event", "job_cancelled", "request", requestID(r), "job", id, "team", team)
	return status, nil
}
