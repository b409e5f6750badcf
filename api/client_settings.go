package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// Settings returns the part of the settings in force at path; an empty path
// selects the whole tree.
func (c *Client) Settings(ctx context.Context, path string) (SettingsValue, error) {
	var v SettingsValue
	err := c.get(ctx, "/v1/settings?path="+url.QueryEscape(path), &v)
	return v, err
}

// Set sets the value at a path.
func (c *Client) Set(ctx context.Context, req SetRequest) (settings.Record, error) {
	var rec settings.Record
	err := c.write(ctx, http.MethodPut, "/v1/settings", req, &rec)
	return rec, err
}

// Unset removes the value at a path, which then inherits from the level above.
func (c *Client) Unset(ctx context.Context, req UnsetRequest) (settings.Record, error) {
	var rec settings.Record
	err := c.write(ctx, http.MethodPost, "/v1/settings/unset", req, &rec)
	return rec, err
}

// Explain returns the origins of the values in force at a leaf.
func (c *Client) Explain(ctx context.Context, leaf settings.Leaf) (Explanation, error) {
	q := url.Values{}
	q.Set("organisation", string(leaf.Organisation))
	q.Set("data_centre", string(leaf.DataCentre))
	q.Set("service", string(leaf.Service))
	q.Set("job_class", string(leaf.JobClass))
	var e Explanation
	err := c.get(ctx, "/v1/settings/explain?"+q.Encode(), &e)
	return e, err
}

// Validate checks a complete settings tree without applying it.
func (c *Client) Validate(ctx context.Context, tree json.RawMessage) (Validation, error) {
	var v Validation
	err := c.write(ctx, http.MethodPost, "/v1/settings/validate", tree, &v)
	return v, err
}

// History returns at most limit audit records of the revisions below before,
// newest first. A before of 0 starts at the newest record.
func (c *Client) History(ctx context.Context, before store.Revision, limit int) (History, error) {
	var page History
	err := c.get(ctx, fmt.Sprintf("/v1/settings/history?before=%d&limit=%d", before, limit), &page)
	return page, err
}

// Wait blocks until a revision or a higher one is in force on all hosts, or
// until the timeout of at most 1 minute expires. A revision of 0 selects the
// one in force on the host that serves the call.
func (c *Client) Wait(ctx context.Context, revision store.Revision, timeout time.Duration) (WaitResult, error) {
	q := url.Values{}
	q.Set("timeout_ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if revision != 0 {
		q.Set("revision", strconv.FormatInt(int64(revision), 10))
	}
	var w WaitResult
	err := c.callWithTimeout(ctx, timeout+responseTimeout, http.MethodGet, "/v1/settings/wait?"+q.Encode(), nil, &w)
	return w, err
}

// DataCentres lists the data centres.
func (c *Client) DataCentres(ctx context.Context) (DataCentres, error) {
	var list DataCentres
	err := c.get(ctx, "/v1/data_centres", &list)
	return list, err
}

// SetState puts a data centre in or out of service.
func (c *Client) SetState(ctx context.Context, dc fleet.DataCentre, req StateRequest) (settings.Record, error) {
	var rec settings.Record
	err := c.write(ctx, http.MethodPut, "/v1/data_centres/"+url.PathEscape(string(dc))+"/state", req, &rec)
	return rec, err
}

// Hosts lists the entry hosts.
func (c *Client) Hosts(ctx context.Context) (Hosts, error) {
	var list Hosts
	err := c.get(ctx, "/v1/hosts", &list)
	return list, err
}

// Shards lists the shards and their owners.
func (c *Client) Shards(ctx context.Context) (Shards, error) {
	var list Shards
	err := c.get(ctx, "/v1/shards", &list)
	return list, err
}

// Services lists the services and their load.
func (c *Client) Services(ctx context.Context) (Services, error) {
	var list Services
	err := c.get(ctx, "/v1/services", &list)
	return list, err
}

// Status returns the state of the system as one host knows it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, "/v1/status", &s)
	return s, err
}
