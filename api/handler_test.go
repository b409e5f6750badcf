package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/auth"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// fixedJobs is a job.Service that always returns the same status and error.
type fixedJobs struct {
	status job.Status
	err    error
}

func (a *fixedJobs) Submit(context.Context, job.Spec) (job.Status, error) { return a.status, a.err }
func (a *fixedJobs) Get(context.Context, fleet.Team, fleet.JobID) (job.Status, error) {
	return a.status, a.err
}
func (a *fixedJobs) List(context.Context, job.ListQuery) (job.Page, error) {
	return job.Page{Jobs: []job.Status{a.status}}, a.err
}
func (a *fixedJobs) Cancel(context.Context, fleet.Team, fleet.JobID) (job.Status, error) {
	return a.status, a.err
}

// directory is a member.Directory with a fixed list of hosts.
type directory struct {
	hosts     []member.Host
	summaries map[fleet.HostID]member.Summary
}

func (d *directory) Hosts() []member.Host { return d.hosts }
func (d *directory) Host(id fleet.HostID) (member.Host, bool) {
	for _, h := range d.hosts {
		if h.ID == id {
			return h, true
		}
	}
	return member.Host{}, false
}
func (d *directory) Summary(id fleet.HostID) (member.Summary, bool) {
	s, ok := d.summaries[id]
	return s, ok
}

type noShards struct{}

func (noShards) Shards() []Shard { return nil }

// NotReadyError is the error of a host that is not ready.
type NotReadyError struct{}

func (*NotReadyError) Error() string { return "no settings" }

type health struct{ ready error }

func (h health) Live() error  { return nil }
func (h health) Ready() error { return h.ready }

// fixture holds the dependencies of a handler under test.
type fixture struct {
	Deps
	store *standin.Store
	jobs  *fixedJobs
	log   bytes.Buffer
}

const tree = `{
	"organisations": {"balkantrans": {}, "verband": {}},
	"data_centres": {"sofia-1": {"region": "bulgaria", "state": "in", "cells": 1}},
	"teams": {
		"fuel": {"organisation": "balkantrans", "region": "bulgaria", "shards": 1},
		"coils": {"organisation": "verband", "region": "bulgaria", "shards": 1}
	}
}`

func newFixture(t *testing.T) *fixture {
	t.Helper()
	tokens, err := auth.NewTokens([]auth.Token{
		{Name: "ana", SHA256: auth.Hash("operator"), Role: auth.RoleOperator},
		{Name: "vera", SHA256: auth.Hash("viewer"), Role: auth.RoleReadOnly},
		{Name: "clerk", SHA256: auth.Hash("caller"), Role: auth.RoleCaller, Organisation: "balkantrans"},
	})
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{store: standin.NewStore(), jobs: &fixedJobs{}}
	if _, err := f.store.CompareAndSwap(t.Context(), settings.TreeKey, 0, []byte(`{"tree": `+tree+`}`), 0); err != nil {
		t.Fatal(err)
	}
	tracker := settings.NewTracker(f.store, settings.TrackerOptions{})
	editor := settings.NewEditor(f.store, time.Now)
	editor.OnApplied(func(value []byte, revision store.Revision) { _ = tracker.Offer(value, revision) })
	if err := tracker.Offer([]byte(`{"tree": `+tree+`}`), 1); err != nil {
		t.Fatal(err)
	}
	f.Deps = Deps{
		Self: "host-1", Jobs: f.jobs, Editor: editor, View: confirmedView{tracker, time.Unix(1, 0)}, Members: &directory{}, Shards: noShards{},
		Health: health{}, Tokens: tokens, Logger: log.NewLogfmtLogger(log.NewSyncWriter(&f.log)),
	}
	return f
}

// call sends a request to the handler and returns the response and its error.
func (f *fixture) call(method, path, token, body string) (*httptest.ResponseRecorder, Error) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	r.Header.Set(requestIDHeader, "req-1")
	w := httptest.NewRecorder()
	NewHandler(f.Deps).ServeHTTP(w, r)
	var e Error
	if w.Code != http.StatusOK && json.Unmarshal(w.Body.Bytes(), &e) != nil {
		e.Message = w.Body.String()
	}
	return w, e
}

const validSpec = `{"id": "a", "organisation": "balkantrans", "team": "fuel", "class": "c", "tasks": 1, "resources": {}, "command": ""}`

// An error of package job must reach the client unchanged.
func TestJobErrors(t *testing.T) {
	tests := []struct {
		err        error
		status     int
		code       Code
		retryAfter string
	}{
		{&job.ConflictError{ID: "a"}, http.StatusConflict, CodeConflict, ""},
		{&job.NotFoundError{ID: "a"}, http.StatusNotFound, CodeNotFound, ""},
		{&job.InvalidError{Field: "tasks", Reason: "too many"}, http.StatusBadRequest, CodeInvalid, ""},
		{&job.TooLargeError{Resource: "memory_mb", Need: 9, Largest: 8}, http.StatusUnprocessableEntity, CodeNeverFits, ""},
		{&job.UnavailableError{Reason: "no owner", RetryAfter: 1500 * time.Millisecond}, http.StatusServiceUnavailable, CodeUnavailable, "2"},
		{&job.UnknownError{Cause: context.DeadlineExceeded}, http.StatusGatewayTimeout, CodeUnknownOutcome, ""},
	}
	for _, tt := range tests {
		t.Run(string(tt.code), func(t *testing.T) {
			f := newFixture(t)
			f.jobs.err = eris.Wrap(tt.err, "queue")
			w, e := f.call("POST", "/v1/jobs", "caller", validSpec)
			if w.Code != tt.status || e.Code != tt.code || w.Header().Get("Retry-After") != tt.retryAfter {
				t.Errorf("answered %d %+v, Retry-After %q", w.Code, e, w.Header().Get("Retry-After"))
			}
			server := httptest.NewServer(NewHandler(f.Deps))
			defer server.Close()
			_, err := NewClient(server.URL, "caller").Get(t.Context(), "fuel", "a")
			if got := eris.Cause(err); fmt.Sprintf("%T", got) != fmt.Sprintf("%T", tt.err) && tt.code != CodeUnknownOutcome {
				t.Errorf("client got %T %v, want %T", got, got, tt.err)
			}
			var unknown *job.UnknownError
			if tt.code == CodeUnknownOutcome && !errors.As(err, &unknown) {
				t.Errorf("client got %v, want a job.UnknownError", err)
			}
			if tt.code != CodeUnknownOutcome && cmp.Diff(tt.err, eris.Cause(err)) != "" {
				t.Errorf("client got %v, want %v", err, tt.err)
			}
		})
	}
}

func TestMalformedCalls(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		status                   int
		want                     string // in the message
	}{
		{"no JSON", "PUT", "/v1/settings", "{", http.StatusBadRequest, "unexpected end"},
		{"unknown name", "PUT", "/v1/settings", `{"id": "a", "paht": "x"}`, http.StatusBadRequest, "paht: unknown name"},
		{"unknown name in a job", "POST", "/v1/jobs", `{"id": "a", "resources": {"cores": 1}}`, http.StatusBadRequest, "resources.cores: unknown name"},
		{"no value", "PUT", "/v1/settings", `{"id": "a", "path": "values.priority"}`, http.StatusBadRequest, "value: missing"},
		{"null", "PUT", "/v1/settings", `{"id": "a", "path": "values.priority", "value": null}`, http.StatusBadRequest, "null is not a value"},
		{"no ID", "PUT", "/v1/settings", `{"path": "values.priority", "value": 1}`, http.StatusBadRequest, "change ID"},
		{"large body", "PUT", "/v1/settings", `{"id": "` + strings.Repeat("a", maxBodyBytes) + `"}`, http.StatusRequestEntityTooLarge, "limit of 65536 bytes"},
		{"large tree", "POST", "/v1/settings/validate", strings.Repeat(" ", maxTreeBytes+1), http.StatusRequestEntityTooLarge, "limit of 1048576 bytes"},
		{"invalid tree", "POST", "/v1/settings/validate", `{"values": {"priority": 101}}`, http.StatusBadRequest, "values.priority: 101 is out of range, allowed: 0 to 100"},
		{"number", "GET", "/v1/settings/history?limit=x", "", http.StatusBadRequest, "limit: not a whole number in range, allowed: 1 to 1000"},
		{"wait", "GET", "/v1/settings/wait?timeout_ms=60001", "", http.StatusBadRequest, "timeout_ms: not a whole number in range, allowed: 0 to 60000"},
		{"state", "PUT", "/v1/data_centres/sofia-1/state", `{"id": "a", "state": "away"}`, http.StatusBadRequest, "allowed: in or out"},
		{"data centre", "PUT", "/v1/data_centres/ruse/state", `{"id": "a", "state": "out"}`, http.StatusNotFound, "data_centres.ruse is not set"},
		{"data centre with a dot", "PUT", "/v1/data_centres/sofia-1.state/state", `{"id": "a", "state": "out"}`, http.StatusBadRequest, "below a value"},
		{"team of another organisation", "POST", "/v1/jobs", strings.ReplaceAll(validSpec, "fuel", "coils"), http.StatusBadRequest, "no such team"},
		{"job ID", "POST", "/v1/jobs", strings.ReplaceAll(validSpec, `"a"`, `"a/1"`), http.StatusBadRequest, "not a job ID"},
		{"no tasks", "POST", "/v1/jobs", strings.ReplaceAll(validSpec, `"tasks": 1`, `"tasks": 0`), http.StatusBadRequest, "tasks: breaks the limit gte 1"},
		{"method", "DELETE", "/v1/settings", "", http.StatusMethodNotAllowed, "DELETE is not allowed"},
		{"path", "GET", "/v2/settings", "", http.StatusNotFound, "no resource /v2/settings"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			w, e := f.call(tt.method, tt.path, "operator", tt.body)
			if w.Code != tt.status || !strings.Contains(e.Message, tt.want) || e.Code == "" || e.RequestID != "req-1" {
				t.Errorf("answered %d %s, want %d with %q", w.Code, w.Body, tt.status, tt.want)
			}
			entry, err := f.store.Get(t.Context(), settings.TreeKey)
			if err != nil || entry.Revision != 1 {
				t.Errorf("tree at revision %d, %v; want revision 1", entry.Revision, err)
			}
		})
	}
}

func TestLargeHeaderIsRefused(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(NewHandler(newFixture(t).Deps))
	server.Start()
	defer server.Close()
	r, err := http.NewRequest(http.MethodGet, server.URL+"/livez", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Large", strings.Repeat("a", 2*maxHeaderBytes))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("answered %d", resp.StatusCode)
	}
}

func TestHealth(t *testing.T) {
	f := newFixture(t)
	for path, want := range map[string]int{"/livez": http.StatusOK, "/readyz": http.StatusOK} {
		if w, _ := f.call("GET", path, "", ""); w.Code != want {
			t.Errorf("%s answered %d", path, w.Code)
		}
	}
	f.Health = health{ready: &NotReadyError{}}
	if w, e := f.call("GET", "/readyz", "", ""); w.Code != http.StatusServiceUnavailable || e.Message != "no settings" {
		t.Errorf("/readyz answered %d %+v", w.Code, e)
	}
	f.Calls = new(expvar.Map).Init()
	for range 2 {
		f.call("GET", "/v1/status", "viewer", "")
		f.call("GET", "/v1/status", "caller", "")
	}
	if got := f.Calls.String(); got != `{"forbidden": 2, "ok": 2}` {
		t.Errorf("response counts are %s", got)
	}
	if w, _ := f.call("GET", "/livez", "", ""); w.Code != http.StatusOK {
		t.Errorf("/livez answered %d", w.Code)
	}
}

func TestInternalErrorTextIsNotReturned(t *testing.T) {
	f := newFixture(t)
	f.jobs.err = io.ErrNoProgress
	w, e := f.call("GET", "/v1/teams/fuel/jobs/a", "caller", "")
	if w.Code != http.StatusInternalServerError || e.Code != CodeInternal || strings.Contains(w.Body.String(), io.ErrNoProgress.Error()) {
		t.Errorf("answered %d %s", w.Code, w.Body)
	}
	line := f.log.String()
	for _, part := range []string{"event=api_call", "request=req-1", "who=clerk", "status=500", io.ErrNoProgress.Error()} {
		if !strings.Contains(line, part) {
			t.Errorf("no %q in the log: %s", part, line)
		}
	}
	if strings.Contains(line, "caller") {
		t.Errorf("token found in the log: %s", line)
	}
}
