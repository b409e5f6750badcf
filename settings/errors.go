package settings

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/strictjson"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// InvalidError reports a tree or a change that is not valid.
type InvalidError struct {
	Path    string // names joined by dots; "" is the whole tree
	Reason  string
	Allowed string // allowed range or format of the value; "" if there is none
}

func (e *InvalidError) Error() string {
	text := "settings: "
	if e.Path != "" {
		text += e.Path + ": "
	}
	text += e.Reason
	if e.Allowed != "" {
		text += ", allowed: " + e.Allowed
	}
	return text
}

// ImmutableError reports a change to a field that is fixed at creation,
// because shards of work depend on it.
type ImmutableError struct{ Path string }

func (e *ImmutableError) Error() string {
	return fmt.Sprintf("settings: %s cannot change after its creation", e.Path)
}

// NotFoundError reports a path that is not set.
type NotFoundError struct{ Path string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("settings: %s is not set", e.Path) }

// ConflictError reports that another change was accepted first. The change
// was not applied.
type ConflictError struct {
	Expect store.Revision
	Actual store.Revision
	Winner Record // newest accepted change
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings: tree is at revision %d, not %d: %s changed %s to %s",
		e.Actual, e.Expect, e.Winner.Actor, e.Winner.Path, valueText(e.Winner.New))
}

// ReusedIDError reports that the ID of a change was used before, for a change
// with another path or value.
type ReusedIDError struct{ First Record }

func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("settings: change ID %s belongs to the change of %s by %s", e.First.ID, e.First.Path, e.First.Actor)
}

// UnavailableError reports that the store could not be reached. The change was
// not applied.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return "settings: not applied, store unavailable: " + rootMessage(e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that a change may have been applied and that the
// store did not answer when it was asked again. Applying the change again with
// the same ID is safe and settles the outcome.
type UnknownOutcomeError struct {
	ID    string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("settings: outcome of change %s unknown, repeat it under the same ID: %s", e.ID, rootMessage(e.Cause))
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// CorruptError reports a value in the store that is missing, can't be decoded
// or is not what was written.
type CorruptError struct {
	Key      string
	Revision store.Revision
	Cause    error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("settings: %s at revision %d: %v", e.Key, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

func decodeError(err error) error {
	var value *strictjson.ValueError
	if !errors.As(err, &value) {
		return eris.Wrap(&InvalidError{Reason: rootMessage(err)}, "decode")
	}
	return eris.Wrap(&InvalidError{Path: value.Path, Reason: value.Reason, Allowed: allowedRange(value.Path)}, "decode")
}

// rootMessage returns the text of the innermost cause, without the prefixes
// that each layer adds.
func rootMessage(err error) string {
	return eris.Cause(err).Error()
}
