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
		reason string // of the refusal
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
			var refusal error
			refuse := func(_ http.ResponseWriter, _ *http.Request, err error) { refusal = err }
			h := tokens.Middleware(refuse)(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = FromContext(r.Context()) }))
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			if tt.header != "" {
				r.Header.Set("Authorization", tt.header)
			}
			h.ServeHTTP(httptest.NewRecorder(), r)
			if got != tt.want {
				t.Errorf("identity %+v, want %+v", got, tt.want)
			}
			var unauthenticated *UnauthenticatedError
			if tt.reason == "" && refusal == nil {
				return
			}
			if !errors.As(refusal, &unauthenticated) || unauthenticated.Reason != tt.reason {
				t.Errorf("refused with %v, want %q", refusal, tt.reason)
			}
		})
	}
}

func TestNewTokensRefuses(t *testing.T) {
	hash := Hash("secret")
	tests := []struct {
		name  string
		token Token
		want  string
	}{
		{"token in place of its hash", Token{Name: "a", SHA256: "secret", Role: RoleOperator}, "64 hex digits"},
		{"short hash", Token{Name: "a", SHA256: hash[:62], Role: RoleOperator}, "64 hex digits"},
		{"hash of another token", Token{Name: "a", SHA256: strings.ToUpper(Hash("another")), Role: RoleOperator}, "same sha256"},
		{"role", Token{Name: "a", SHA256: hash, Role: "admin"}, `no such role "admin"`},
		{"caller of nobody", Token{Name: "a", SHA256: hash, Role: RoleCaller}, "needs an organisation"},
		{"operator of an organisation", Token{Name: "a", SHA256: hash, Role: RoleOperator, Organisation: "o"}, "only a caller"},
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
				t.Errorf("the error tells the token: %v", err)
			}
		})
	}
}

func TestRights(t *testing.T) {
	const own, other fleet.Organisation = "balkantrans", "verband"
	tests := []struct {
		who                                                   Identity
		write, read, submitOwn, submitOther, seeOwn, seeOther bool
	}{
		{Identity{Role: RoleOperator}, true, true, true, true, true, true},
		{Identity{Role: RoleReadOnly}, false, true, false, false, true, true},
		{Identity{Role: RoleCaller, Organisation: own}, false, false, true, false, true, false},
		{Identity{}, false, false, false, false, false, false},
	}
	for _, tt := range tests {
		t.Run(string(tt.who.Role), func(t *testing.T) {
			got := []bool{tt.who.MayWrite(), tt.who.MayRead(), tt.who.MaySubmit(own), tt.who.MaySubmit(other), tt.who.MaySee(own), tt.who.MaySee(other)}
			want := []bool{tt.write, tt.read, tt.submitOwn, tt.submitOther, tt.seeOwn, tt.seeOther}
			for i := range want {
				if got[i] != want[i] {
					t.Errorf("right %d is %t, want %t", i, got[i], want[i])
				}
			}
			// A team that the settings don't know belongs to nobody.
			if tt.who.Role != RoleOperator && tt.who.MaySubmit("") {
				t.Error("may submit for nobody")
			}
		})
	}
}
