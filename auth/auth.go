package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Role is the set of permissions of a token.
type Role string

// Roles.
const (
	RoleOperator Role = "operator"  // all operations
	RoleReadOnly Role = "read_only" // all reads
	RoleCaller   Role = "caller"    // jobs of one organisation
)

// Token is the configuration of a token. It holds only the hash of the secret.
type Token struct {
	Name         string             `json:"name" validate:"required,max=64"`                                            // name in the audit trail
	SHA256       string             `json:"sha256" validate:"len=64,hexadecimal"`                                       // hash of the token, in hex
	Role         Role               `json:"role" validate:"oneof=operator read_only caller"`                            // permissions of the token
	Organisation fleet.Organisation `json:"organisation,omitempty" validate:"required_if=Role caller,omitempty,max=63"` // for RoleCaller only
}

// Identity is the authenticated sender of a request.
type Identity struct {
	Name         string
	Role         Role
	Organisation fleet.Organisation // for RoleCaller; empty otherwise
}

// MayWrite reports whether the identity may change settings.
func (i Identity) MayWrite() bool { return i.Role == RoleOperator }

// MayRead reports whether the identity may read the data of all organisations.
func (i Identity) MayRead() bool { return i.Role == RoleOperator || i.Role == RoleReadOnly }

// MaySubmit reports whether the identity may submit and cancel jobs of an
// organisation.
func (i Identity) MaySubmit(org fleet.Organisation) bool {
	return i.Role == RoleOperator || i.Role == RoleCaller && i.Organisation == org
}

// MaySee reports whether the identity may see jobs of an organisation.
func (i Identity) MaySee(org fleet.Organisation) bool {
	return i.MayRead() || i.MaySubmit(org)
}

// InvalidTokenError reports an invalid token configuration.
type InvalidTokenError struct {
	Name   string
	Reason string
}

func (e *InvalidTokenError) Error() string {
	return fmt.Sprintf("auth: token %q: %s", e.Name, e.Reason)
}

// UnauthenticatedError reports a request without a known token.
type UnauthenticatedError struct{ Reason string }

func (e *UnauthenticatedError) Error() string { return "auth: " + e.Reason }

// ForbiddenError reports a request that the token's role does not permit.
type ForbiddenError struct{ Action string }

func (e *ForbiddenError) Error() string { return "auth: the token does not allow to " + e.Action }

type tokenEntry struct {
	hash     [sha256.Size]byte
	identity Identity
}

// Tokens is the set of configured tokens. It is immutable.
type Tokens struct{ entries []tokenEntry }

// NewTokens returns the set of the given tokens. If there are none, every request
// is authenticated as an operator named "local"; package config then restricts
// the host to loopback addresses. Errors are *InvalidTokenError.
func NewTokens(tokens []Token) (*Tokens, error) {
	t := &Tokens{}
	for _, token := range tokens {
		e := tokenEntry{identity: Identity{Name: token.Name, Role: token.Role, Organisation: token.Organisation}}
		hash, err := hex.DecodeString(token.SHA256)
		if err != nil || len(hash) != sha256.Size {
			return nil, eris.Wrap(&InvalidTokenError{Name: token.Name, Reason: "sha256 is not 64 hex digits"}, "tokens")
		}
		copy(e.hash[:], hash)
		if t.containsHash(e.hash) {
			return nil, eris.Wrap(&InvalidTokenError{Name: token.Name, Reason: "another token has the same sha256"}, "tokens")
		}
		if reason := token.invalidReason(); reason != "" {
			return nil, eris.Wrap(&InvalidTokenError{Name: token.Name, Reason: reason}, "tokens")
		}
		t.entries = append(t.entries, e)
	}
	return t, nil
}

func (t *Tokens) containsHash(hash [sha256.Size]byte) bool {
	return slices.ContainsFunc(t.entries, func(e tokenEntry) bool { return e.hash == hash })
}

// invalidReason returns why the role and organisation of a token are invalid, or
// "" if they are valid.
func (t Token) invalidReason() string {
	switch t.Role {
	case RoleOperator, RoleReadOnly:
		if t.Organisation != "" {
			return "only a token with role caller may have an organisation"
		}
	case RoleCaller:
		if t.Organisation == "" {
			return "a token with role caller needs an organisation"
		}
	default:
		return fmt.Sprintf("unknown role %q", t.Role)
	}
	return ""
}

// Hash returns the SHA-256 hash of a token in hex, as Token.SHA256 holds it.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// localIdentity is the identity of every request if no token is configured.
var localIdentity = Identity{Name: "local", Role: RoleOperator}

// Authenticate returns the identity of a token, or an *UnauthenticatedError.
// It runs in constant time, regardless of which token matches and of how many
// bytes match.
func (t *Tokens) Authenticate(token string) (Identity, error) {
	if len(t.entries) == 0 {
		return localIdentity, nil
	}
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i, e := range t.entries {
		equal := subtle.ConstantTimeCompare(hash[:], e.hash[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return Identity{}, eris.Wrap(&UnauthenticatedError{Reason: "unknown token"}, "authenticate")
	}
	return t.entries[found].identity, nil
}

const bearerPrefix = "Bearer "

// AuthenticateRequest returns the identity for the Authorization header of an
// HTTP request, or an *UnauthenticatedError.
func (t *Tokens) AuthenticateRequest(r *http.Request) (Identity, error) {
	header := r.Header.Get("Authorization")
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok && len(t.entries) > 0 {
		return Identity{}, eris.Wrap(&UnauthenticatedError{Reason: "no bearer token"}, "authenticate")
	}
	return t.Authenticate(token)
}

// ErrorWriter writes the response to a request that fails authentication.
type ErrorWriter func(w http.ResponseWriter, r *http.Request, err error)

// Middleware puts the identity of each request into its context. It responds with
// writeError if authentication fails.
func (t *Tokens) Middleware(writeError ErrorWriter) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			identity, err := t.AuthenticateRequest(r)
			if err != nil {
				writeError(w, r, err)
				return
			}
			next.ServeHTTP(w, r.WithContext(NewContext(r.Context(), identity)))
		})
	}
}

type contextKey struct{}

// NewContext returns a copy of ctx that carries an identity.
func NewContext(ctx context.Context, i Identity) context.Context {
	return context.WithValue(ctx, contextKey{}, i)
}

// FromContext returns the identity that ctx carries, or one without permissions.
func FromContext(ctx context.Context) Identity {
	i, _ := ctx.Value(contextKey{}).(Identity)
	return i
}
