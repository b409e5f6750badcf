package command

import (
	"errors"
	"fmt"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/auth"
	"github.com/fuchsiahill/fuchsiahill/config"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// The exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailure     = 1 // failed for another reason
	ExitUsage       = 2 // invalid command, argument, file or value
	ExitNotFound    = 3
	ExitConflict    = 4 // another change or job came first
	ExitUnavailable = 5 // nothing was done
	ExitUnknown     = 6 // the outcome is unknown
	ExitLagging     = 7 // not in force on all hosts before the timeout
	ExitForbidden   = 8 // the token is unknown or lacks permission
)

// UsageError reports an invalid command line.
type UsageError struct {
	Command string
	Reason  string
}

func (e *UsageError) Error() string {
	return fmt.Sprintf("%s (see '%s --help')", e.Reason, e.Command)
}

// FileError reports a file named on the command line that is unusable.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("file %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// LaggingError reports the hosts on which a revision was not in force before the
// timeout.
type LaggingError struct {
	Revision store.Revision
	Laggards []api.HostRevision
}

func (e *LaggingError) Error() string {
	text := fmt.Sprintf("revision %d is not in force on:", e.Revision)
	for _, l := range e.Laggards {
		text += fmt.Sprintf(" %s (%d)", l.Host, l.Revision)
	}
	if len(e.Laggards) == 0 {
		text += " any known host"
	}
	return text
}

var exitByCode = map[api.Code]int{
	api.CodeInvalid:         ExitUsage,
	api.CodeImmutable:       ExitUsage,
	api.CodeTooLarge:        ExitUsage,
	api.CodeNeverFits:       ExitUsage,
	api.CodeNotFound:        ExitNotFound,
	api.CodeConflict:        ExitConflict,
	api.CodeReusedID:        ExitConflict,
	api.CodeUnavailable:     ExitUnavailable,
	api.CodeUnknownOutcome:  ExitUnknown,
	api.CodeUnauthenticated: ExitForbidden,
	api.CodeForbidden:       ExitForbidden,
}

// classification is the error to display for a failed command, and the exit
// code.
type classification struct {
	displayed error
	exitCode  int
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int { return classify(err).exitCode }

// message returns the text of an error without the context added by wrapping.
func message(err error) string { return classify(err).displayed.Error() }

func classify(err error) classification {
	for _, f := range []func(error) (classification, bool){classifyLocal, classifyConfig, classifyAPI, classifyJob} {
		if found, ok := f(err); ok {
			return found
		}
	}
	return classification{err, ExitFailure}
}

func classifyLocal(err error) (classification, bool) {
	var (
		usage            *UsageError
		file             *FileError
		lagging          *LaggingError
		change           *UnknownChangeError
		submission       *UnknownSubmissionError
		invalid          *settings.InvalidError
		missing          *NotFoundError
		platformSettings *platform.SettingsError
		unreadable       *UnreadableError
	)
	switch {
	case errors.As(err, &unreadable):
		return classification{unreadable, ExitUsage}, true
	case errors.As(err, &missing):
		return classification{missing, ExitNotFound}, true
	case errors.As(err, &platformSettings):
		return classification{platformSettings, ExitUsage}, true
	case errors.As(err, &change):
		return classification{change, ExitUnknown}, true
	case errors.As(err, &submission):
		return classification{submission, ExitUnknown}, true
	case errors.As(err, &usage):
		return classification{usage, ExitUsage}, true
	case errors.As(err, &file):
		return classification{file, ExitUsage}, true
	case errors.As(err, &lagging):
		return classification{lagging, ExitLagging}, true
	case errors.As(err, &invalid):
		return classification{invalid, ExitUsage}, true
	}
	return classification{}, false
}

func classifyConfig(err error) (classification, bool) {
	var (
		file    *config.FileError
		invalid *config.InvalidError
		exposed *config.ExposedError
		token   *auth.InvalidTokenError
	)
	switch {
	case errors.As(err, &file):
		return classification{file, ExitUsage}, true
	case errors.As(err, &invalid):
		return classification{invalid, ExitUsage}, true
	case errors.As(err, &exposed):
		return classification{exposed, ExitUsage}, true
	case errors.As(err, &token):
		return classification{token, ExitUsage}, true
	}
	return classification{}, false
}

func classifyAPI(err error) (classification, bool) {
	var unreachable *api.UnreachableError
	var unknown *api.UnknownOutcomeError
	var apiErr *api.Error
	switch {
	case errors.As(err, &unreachable):
		return classification{unreachable, ExitUnavailable}, true
	case errors.As(err, &unknown):
		return classification{unknown, ExitUnknown}, true
	case errors.As(err, &apiErr):
		code, ok := exitByCode[apiErr.Code]
		if !ok {
			code = ExitFailure
		}
		return classification{apiErr, code}, true
	}
	return classification{}, false
}

func classifyJob(err error) (classification, bool) {
	var (
		conflict    *job.ConflictError
		missing     *job.NotFoundError
		invalid     *job.InvalidError
		tooLarge    *job.TooLargeError
		unavailable *job.UnavailableError
		unknown     *job.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &conflict):
		return classification{conflict, ExitConflict}, true
	case errors.As(err, &missing):
		return classification{missing, ExitNotFound}, true
	case errors.As(err, &invalid):
		return classification{invalid, ExitUsage}, true
	case errors.As(err, &tooLarge):
		return classification{tooLarge, ExitUsage}, true
	case errors.As(err, &unavailable):
		return classification{unavailable, ExitUnavailable}, true
	case errors.As(err, &unknown):
		return classification{unknown, ExitUnknown}, true
	}
	return classification{}, false
}
