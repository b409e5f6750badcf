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
	defaultJobs = 100
	maxJobs     = 1000
)

// jobIDPattern is the form of a job ID. A task's ID is the job's with a
// slash and a number.
var jobIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

const jobIDForm = "1 to 64 of A-Z, a-z, 0-9, '.', '_' and '-', beginning with a letter or digit"

func (h *handler) routeJobs(r *mux.Router) {
	r.Handle("/v1/jobs", h.wrap(h.submit)).Methods(http.MethodPost)
	r.Handle("/v1/teams/{team}/jobs", h.wrap(h.listJobs)).Methods(http.MethodGet)
	r.Handle("/v1/teams/{team}/jobs/{id}", h.wrap(h.getJob)).Methods(http.MethodGet)
	r.Handle("/v1/teams/{team}/jobs/{id}/cancel", h.wrap(h.cancelJob)).Methods(http.MethodPost)
}

func (h *handler) submit(r *http.Request) (any, error) {
	var spec job.Spec
	if err := decodeBody(r, &spec); err != nil {
		return nil, err
	}
	if err := checkSpec(spec); err != nil {
		return nil, err
	}
	if !auth.FromContext(r.Context()).MaySubmit(spec.Organisation) {
		return nil, &auth.ForbiddenError{Action: "submit jobs of organisation " + string(spec.Organisation)}
	}
	// The settings, not the caller, say whose a team is: a caller must not
	// reach another organisation's team by naming its own organisation.
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

// team returns a team of the settings in force. A host that does not know
// any yet can't tell that there is none.
func (h *handler) team(name fleet.Team) (settings.Team, bool, error) {
	// Read before the settings, so that they are at least as new.
	unconfirmed := h.View.ConfirmedAt().IsZero()
	team, ok := h.View.Current().Teams()[name]
	if !ok && unconfirmed {
		return team, false, &job.UnavailableError{Reason: "settings not known yet", RetryAfter: defaultRetryAfter}
	}
	return team, ok, nil
}

var specValidator = sync.OnceValue(strictjson.NewValidator)

// checkSpec refuses what no settings could allow.
func checkSpec(spec job.Spec) error {
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

// ownTeam returns the team of a call if the identity may act on it. A
// caller is not told whether a team of others exists.
func (h *handler) ownTeam(r *http.Request, allowed func(auth.Identity, fleet.Organisation) bool) (fleet.Team, error) {
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

func (h *handler) ownJob(r *http.Request, allowed func(auth.Identity, fleet.Organisation) bool) (fleet.Team, fleet.JobID, error) {
	team, err := h.ownTeam(r, allowed)
	if err != nil {
		return "", "", err
	}
	id, err := pathVar(r, "id")
	return team, fleet.JobID(id), err
}

func (h *handler) listJobs(r *http.Request) (any, error) {
	team, err := h.ownTeam(r, auth.Identity.MaySee)
	if err != nil {
		return nil, err
	}
	limit, err := number(r, "limit", 1, maxJobs, defaultJobs)
	if err != nil {
		return nil, err
	}
	return h.Jobs.List(r.Context(), job.ListQuery{Team: team, After: r.URL.Query().Get("after"), Limit: int(limit)})
}

func (h *handler) getJob(r *http.Request) (any, error) {
	team, id, err := h.ownJob(r, auth.Identity.MaySee)
	if err != nil {
		return nil, err
	}
	return h.Jobs.Get(r.Context(), team, id)
}

func (h *handler) cancelJob(r *http.Request) (any, error) {
	team, id, err := h.ownJob(r, auth.Identity.MaySubmit)
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
