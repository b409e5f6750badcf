package auth

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

var configured = []Token{
	{Name: "ana", SHA256: Hash("secret-a"), Role: RoleOperator},
	{Name: "vera", SHA256: strings.ToUpper(Hash("secret-v")), Role: RoleReadOnly},
	{Name: "clerk", SHA256: Hash("secret-c"), Role: RoleCaller, Organisation: "balkantrans"},
}

func TestMiddleware(t *testing.T) {
	tests := []struct {
		name   string
		tokens []Token
		header string
		want   Identity
		reason string // of the *UnauthenticatedError; empty if accepted
	}{
		{"operator", configured, "Bearer secret-a", Identity{Name: "ana", Role: RoleOperator}, ""},
		{"hash in capitals", configured, "Bearer secret-v", Identity{Name: "vera", Role: RoleReadOnly}, ""},
		{"caller", configured, "Bearer secret-c", Identity{Name: "clerk", Role: RoleCaller, Organisation: "balkantrans"}, ""},
		{"unknown", configured, "Bearer secret", Identity{}, "unknown token"},
		{"the hash itself", configured, "Bearer " + Hash("secret-a"), Identity{}, "unknown token"},
		{"empty", configured, "Bearer ", Identity{}, "unknown token"},
		{"none", configured, "", Identity{}, "no bearer token"},
		{"other scheme", configured, "Basic secret-a", Identity{}, "no bearer token"},
		{"nothing configured", nil, "", Identity{Name: "local", Role: RoleOperator}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tokens, err := NewTokens(tt.tokens)
			if err != nil {
				t.Fatal(err)
			}
			var got Identity
			var gotErr error
			writeError := func(_ http.ResponseWriter, _ *http.Request, err error) { gotErr = err }
			h := tokens.Middleware(writeError)(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = FromContext(r.Context()) }))
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			if tt.header != "" {
				r.Header.Set("Authorization", tt.header)
			}
			h.ServeHTTP(httptest.NewRecorder(), r)
			if got != tt.want {
				t.Errorf("identity %+v, want %+v", got, tt.want)
			}
			var unauthenticated *UnauthenticatedError
			if tt.reason == "" && gotErr == nil {
				return
			}
			if !errors.As(gotErr, &unauthenticated) || unauthenticated.Reason != tt.reason {
				t.Errorf("authentication error %v, want %q", gotErr, tt.reason)
			}
		})
	}
}

func TestNewTokensRejectsInvalid(t *testing.T) {
	hash := Hash("secret")
	tests := []struct {
		name  string
		token Token
		want  string
	}{
		{"token in place of its hash", Token{Name: "a", SHA256: "secret", Role: RoleOperator}, "64 hex digits"},
		{"short hash", Token{Name: "a", SHA256: hash[:62], Role: RoleOperator}, "64 hex digits"},
		{"hash of another token", Token{Name: "a", SHA256: strings.ToUpper(Hash("another")), Role: RoleOperator}, "same sha256"},
		{"role", Token{Name: "a", SHA256: hash, Role: "admin"}, `unknown role "admin"`},
		{"caller without an organisation", Token{Name: "a", SHA256: hash, Role: RoleCaller}, "caller needs an organisation"},
		{"operator of an organisation", Token{Name: "a", SHA256: hash, Role: RoleOperator, Organisation: "o"}, "only a token with role caller"},
	}
	first := Token{Name: "first", SHA256: Hash("another"), Role: RoleReadOnly}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewTokens([]Token{first, tt.token})
			var invalid *InvalidTokenError
			if !errors.As(err, &invalid) || !strings.Contains(invalid.Error(), tt.want) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
			if err != nil && strings.Contains(err.Error(), "secret") {
				t.Errorf("the error contains the token: %v", err)
			}
		})
	}
}

func TestPermissions(t *testing.T) {
	const own, other fleet.Organisation = "balkantrans", "verband"
	tests := []struct {
		identity                                              Identity
		write, read, submitOwn, submitOther, seeOwn, seeOther bool
	}{
		{Identity{Role: RoleOperator}, true, true, true, true, true, true},
		{Identity{Role: RoleReadOnly}, false, true, false, false, true, true},
		{Identity{Role: RoleCaller, Organisation: own}, false, false, true, false, true, false},
		{Identity{}, false, false, false, false, false, false},
	}
	for _, tt := range tests {
		t.Run(string(tt.identity.Role), func(t *testing.T) {
			got := []bool{tt.identity.MayWrite(), tt.identity.MayRead(), tt.identity.MaySubmit(own), tt.identity.MaySubmit(other), tt.identity.MaySee(own), tt.identity.MaySee(other)}
			want := []bool{tt.write, tt.read, tt.submitOwn, tt.submitOther, tt.seeOwn, tt.seeOther}
			for i := range want {
				if got[i] != want[i] {
					t.Errorf("permission %d is %t, want %t", i, got[i], want[i])
				}
			}
			// A team that is not in the settings has no organisation.
			if tt.identity.Role != RoleOperator && tt.identity.MaySubmit("") {
				t.Error("may submit jobs without an organisation")
			}
		})
	}
}
