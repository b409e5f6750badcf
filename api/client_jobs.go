package api

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/job"
)

var _ job.Service = (*Client)(nil)

// Submit implements job.Service.
func (c *Client) Submit(ctx context.Context, spec job.Spec) (job.Status, error) {
	var s job.Status
	err := c.write(ctx, http.MethodPost, "/v1/jobs", spec, &s)
	return s, jobError(err, spec.ID)
}

// Get implements job.Service.
func (c *Client) Get(ctx context.Context, team fleet.Team, id fleet.JobID) (job.Status, error) {
	var s job.Status
	err := c.get(ctx, jobPath(team, id), &s)
	return s, jobError(err, id)
}

// List implements job.Service.
func (c *Client) List(ctx context.Context, q job.ListQuery) (job.Page, error) {
	values := url.Values{}
	values.Set("after", q.After)
	if q.Limit > 0 {
		values.Set("limit", strconv.Itoa(q.Limit))
	}
	var p job.Page
	err := c.get(ctx, "/v1/teams/"+url.PathEscape(string(q.Team))+"/jobs?"+values.Encode(), &p)
	return p, jobError(err, "")
}

// Cancel implements job.Service.
func (c *Client) Cancel(ctx context.Context, team fleet.Team, id fleet.JobID) (job.Status, error) {
	var s job.Status
	err := c.write(ctx, http.MethodPost, jobPath(team, id)+"/cancel", nil, &s)
	return s, jobError(err, id)
}

func jobPath(team fleet.Team, id fleet.JobID) string {
	return "/v1/teams/" + url.PathEscape(string(team)) + "/jobs/" + url.PathEscape(string(id))
}

// jobError converts the error of a call to the matching error of package job.
// An *Error without a match, such as a rejected token, is returned unchanged.
func jobError(err error, id fleet.JobID) error {
	var unreachable *UnreachableError
	var unknown *UnknownOutcomeError
	var apiErr *Error
	switch {
	case errors.As(err, &unreachable):
		return eris.Wrap(&job.UnavailableError{Reason: unreachable.Error()}, "api")
	case errors.As(err, &unknown):
		return eris.Wrap(&job.UnknownError{Cause: unknown.Cause}, "api")
	case !errors.As(err, &apiErr):
		return err
	}
	if typed := apiErr.jobError(id); typed != nil && (id != "" || apiErr.Code != CodeNotFound) {
		return eris.Wrap(typed, "api")
	}
	return err
}

func (e *Error) jobError(id fleet.JobID) error {
	switch e.Code {
	case CodeConflict:
		return &job.ConflictError{ID: id}
	case CodeNotFound:
		return &job.NotFoundError{ID: id}
	case CodeInvalid:
		return &job.InvalidError{Field: e.Path, Reason: e.Reason}
	case CodeNeverFits:
		return &job.TooLargeError{Resource: e.Path, Need: e.Need, Largest: e.Largest}
	case CodeUnavailable:
		return &job.UnavailableError{Reason: e.Reason, RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond}
	case CodeUnknownOutcome:
		return &job.UnknownError{Cause: e}
	}
	return nil
}
