package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/settings"
)

// Each call must be allowed to the roles that need it and to no other.
func TestPermissions(t *testing.T) {
	const operator, viewer, caller = "operator", "viewer", "caller"
	tests := []struct {
		method, path, body string
		allowed            string
	}{
		{"GET", "/v1/settings", "", operator + viewer},
		{"PUT", "/v1/settings", `{"id": "%s", "path": "values.priority", "value": 1}`, operator},
		{"POST", "/v1/settings/unset", `{"id": "%s", "path": "values.priority"}`, operator},
		{"GET", "/v1/settings/explain", "", operator + viewer},
		{"POST", "/v1/settings/validate", "{}", operator + viewer},
		{"GET", "/v1/settings/history", "", operator + viewer},
		{"GET", "/v1/settings/wait?timeout_ms=0", "", operator + viewer},
		{"GET", "/v1/data_centres", "", operator + viewer},
		{"PUT", "/v1/data_centres/sofia-1/state", `{"id": "x%s", "state": "out"}`, operator},
		{"GET", "/v1/hosts", "", operator + viewer},
		{"GET", "/v1/shards", "", operator + viewer},
		{"GET", "/v1/services", "", operator + viewer},
		{"GET", "/v1/status", "", operator + viewer},
		{"POST", "/v1/jobs", validSpec, operator + caller},
		{"POST", "/v1/jobs", strings.NewReplacer("balkantrans", "verband", "fuel", "coils").Replace(validSpec), operator},
		{"GET", "/v1/teams/fuel/jobs", "", operator + viewer + caller},
		{"GET", "/v1/teams/fuel/jobs/a", "", operator + viewer + caller},
		{"POST", "/v1/teams/fuel/jobs/a/cancel", "", operator + caller},
		{"GET", "/v1/teams/coils/jobs", "", operator + viewer},
		{"GET", "/v1/teams/coils/jobs/a", "", operator + viewer},
		{"POST", "/v1/teams/coils/jobs/a/cancel", "", operator},
	}
	f := newFixture(t)
	for _, tt := range tests {
		for _, token := range []string{operator, viewer, caller, "", "unknown"} {
			t.Run(tt.method+tt.path+" "+token, func(t *testing.T) {
				w, e := f.call(tt.method, tt.path, token, strings.ReplaceAll(tt.body, "%s", token+tt.method))
				switch {
				case token == "" || token == "unknown":
					if w.Code != http.StatusUnauthorized || e.Code != CodeUnauthenticated || w.Header().Get("WWW-Authenticate") == "" {
						t.Errorf("answered %d %+v without a token", w.Code, e)
					}
				case strings.Contains(tt.allowed, token):
					if w.Code != http.StatusOK {
						t.Errorf("answered %d %+v", w.Code, e)
					}
				case w.Code != http.StatusForbidden || e.Code != CodeForbidden:
					t.Errorf("answered %d %+v, want 403", w.Code, e)
				}
			})
		}
	}
}

// A team that is not in the settings must be reported as not found to operators
// and viewers, and to callers like another organisation's team.
func TestUnknownTeam(t *testing.T) {
	f := newFixture(t)
	f.View = confirmedView{f.View, time.Now()}
	for token, want := range map[string]int{"operator": http.StatusNotFound, "viewer": http.StatusNotFound, "caller": http.StatusForbidden} {
		if w, _ := f.call("GET", "/v1/teams/nosuch/jobs", token, ""); w.Code != want {
			t.Errorf("%s got %d, want %d", token, w.Code, want)
		}
	}
	// A host that has just started does not know yet whether the team exists.
	f.View = confirmedView{f.View, time.Time{}}
	for _, path := range []string{"/v1/teams/nosuch/jobs", "/v1/teams/nosuch/jobs/a"} {
		if w, _ := f.call("GET", path, "caller", ""); w.Code != http.StatusServiceUnavailable {
			t.Errorf("%s got %d without settings", path, w.Code)
		}
	}
	if w, _ := f.call("POST", "/v1/jobs", "caller", strings.ReplaceAll(validSpec, "fuel", "nosuch")); w.Code != http.StatusServiceUnavailable {
		t.Errorf("a submission got %d without settings", w.Code)
	}
}

// confirmedView is a settings view with a fixed time of confirmation.
type confirmedView struct {
	settings.View
	at time.Time
}

func (c confirmedView) ConfirmedAt() time.Time { return c.at }

func TestRequireReadAccess(t *testing.T) {
	f := newFixture(t)
	h := RequireReadAccess(f.Tokens)(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for token, want := range map[string]int{
		"operator": http.StatusOK, "viewer": http.StatusOK, "caller": http.StatusForbidden, "unknown": http.StatusUnauthorized,
	} {
		r := httptest.NewRequest(http.MethodGet, "/debug/vars", nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != want {
			t.Errorf("%s got %d, want %d", token, w.Code, want)
		}
	}
}
