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

// Role says what the holder of a token may do.
type Role string

// Roles.
const (
	RoleOperator Role = "operator"  // everything
	RoleReadOnly Role = "read_only" // reads of everything
	RoleCaller   Role = "caller"    // the jobs of one organisation
)

// Token is a configured token. The token itself is not kept.
type Token struct {
	Name         string             `json:"name" validate:"required,max=64"`                                            // who, in the audit trail
	SHA256       string             `json:"sha256" validate:"len=64,hexadecimal"`                                       // of the token, in hex
	Role         Role               `json:"role" validate:"oneof=operator read_only caller"`                            //
	Organisation fleet.Organisation `json:"organisation,omitempty" validate:"required_if=Role caller,omitempty,max=63"` // of a caller
}

// Identity is who makes a call.
type Identity struct {
	Name         string
	Role         Role
	Organisation fleet.Organisation // of a caller; empty otherwise
}

// MayWrite reports whether the identity may change settings.
func (i Identity) MayWrite() bool { return i.Role == RoleOperator }

// MayRead reports whether the identity may read what concerns all
// organisations.
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

// InvalidTokenError reports a configured token that can't be used.
type InvalidTokenError struct {
	Name   string
	Reason string
}

func (e *InvalidTokenError) Error() string {
	return fmt.Sprintf("auth: token %q: %s", e.Name, e.Reason)
}

// UnauthenticatedError reports a call without a known token.
type UnauthenticatedError struct{ Reason string }

func (e *UnauthenticatedError) Error() string { return "auth: " + e.Reason }

// ForbiddenError reports a call that the token's role does not allow.
type ForbiddenError struct{ Action string }

func (e *ForbiddenError) Error() string { return "auth: the token does not allow to " + e.Action }

type entry struct {
	hash     [sha256.Size]byte
	identity Identity
}

// Tokens knows the configured tokens. It is immutable.
type Tokens struct{ entries []entry }

// NewTokens returns the set of the given tokens. Without any, every call is
// that of an operator named "local"; a host then listens on loopback only.
func NewTokens(tokens []Token) (*Tokens, error) {
	t := &Tokens{}
	for _, token := range tokens {
		e := entry{identity: Identity{Name: token.Name, Role: token.Role, Organisation: token.Organisation}}
		hash, err := hex.DecodeString(token.SHA256)
		if err != nil || len(hash) != sha256.Size {
			return nil, eris.Wrap(&InvalidTokenError{Name: token.Name, Reason: "sha256 is not 64 hex digits"}, "tokens")
		}
		copy(e.hash[:], hash)
		if t.knows(e.hash) {
			return nil, eris.Wrap(&InvalidTokenError{Name: token.Name, Reason: "another token has the same sha256"}, "tokens")
		}
		if reason := token.fault(); reason != "" {
			return nil, eris.Wrap(&InvalidTokenError{Name: token.Name, Reason: reason}, "tokens")
		}
		t.entries = append(t.entries, e)
	}
	return t, nil
}

func (t *Tokens) knows(hash [sha256.Size]byte) bool {
	return slices.ContainsFunc(t.entries, func(e entry) bool { return e.hash == hash })
}

func (t Token) fault() string {
	switch t.Role {
	case RoleOperator, RoleReadOnly:
		if t.Organisation != "" {
			return "only a caller belongs to an organisation"
		}
	case RoleCaller:
		if t.Organisation == "" {
			return "a caller needs an organisation"
		}
	default:
		return fmt.Sprintf("no such role %q", t.Role)
	}
	return ""
}

// Hash returns the form of a token that is configured.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// localIdentity is used when no token is configured.
var localIdentity = Identity{Name: "local", Role: RoleOperator}

// Authenticate returns the identity of a token, or an *UnauthenticatedError.
// Its time does not depend on which token matches, or on how much of it.
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

const scheme = "Bearer "

// AuthenticateRequest returns the identity of an HTTP request by its Authorization
// header.
func (t *Tokens) AuthenticateRequest(r *http.Request) (Identity, error) {
	header := r.Header.Get("Authorization")
	token, ok := strings.CutPrefix(header, scheme)
	if !ok && len(t.entries) > 0 {
		return Identity{}, eris.Wrap(&UnauthenticatedError{Reason: "no bearer token"}, "authenticate")
	}
	return t.Authenticate(token)
}

// ErrorWriter answers a request that is refused.
type ErrorWriter func(w http.ResponseWriter, r *http.Request, err error)

// Middleware puts the identity of each request into its context, or answers
// with refuse.
func (t *Tokens) Middleware(refuse ErrorWriter) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			identity, err := t.AuthenticateRequest(r)
			if err != nil {
				refuse(w, r, err)
				return
			}
			next.ServeHTTP(w, r.WithContext(NewContext(r.Context(), identity)))
		})
	}
}

type contextKey struct{}

// NewContext returns ctx with an identity.
func NewContext(ctx context.Context, i Identity) context.Context {
	return context.WithValue(ctx, contextKey{}, i)
}

// FromContext returns the identity of ctx, or one that may do nothing.
func FromContext(ctx context.Context) Identity {
	i, _ := ctx.Value(contextKey{}).(Identity)
	return i
}
