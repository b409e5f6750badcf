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

// Exit codes.
const (
	ExitOK          = 0
	ExitFailure     = 1 // failed for another reason
	ExitUsage       = 2 // wrong command, argument, file or value
	ExitNotFound    = 3
	ExitConflict    = 4 // another change or job was first
	ExitUnavailable = 5 // nothing was done
	ExitUnknown     = 6 // the outcome is unknown
	ExitLagging     = 7 // not in force on all hosts within the time given
	ExitForbidden   = 8 // the token is unknown or does not allow it
)

// UsageError reports a wrong command line.
type UsageError struct {
	Command string
	Reason  string
}

func (e *UsageError) Error() string {
	return fmt.Sprintf("%s (see '%s --help')", e.Reason, e.Command)
}

// FileError reports a file named on the command line that can't be used.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("file %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// LaggingError reports hosts on which a revision is not in force in time.
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

// failure is the error to show for a kind of failure, and its exit code.
type failure struct {
	shown error
	exit  int
}

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int { return classify(err).exit }

// message returns the text of an error without the context that it was
// wrapped in on its way.
func message(err error) string { return classify(err).shown.Error() }

func classify(err error) failure {
	for _, f := range []func(error) (failure, bool){classifyLocal, classifyConfig, classifyAnswer, classifyJob} {
		if found, ok := f(err); ok {
			return found
		}
	}
	return failure{err, ExitFailure}
}

func classifyLocal(err error) (failure, bool) {
	var (
		usage      *UsageError
		file       *FileError
		lagging    *LaggingError
		change     *UnknownChangeError
		submission *UnknownSubmissionError
		invalid    *settings.InvalidError
		missing    *NotFoundError
		provided   *platform.SettingsError
	)
	switch {
	case errors.As(err, &missing):
		return failure{missing, ExitNotFound}, true
	case errors.As(err, &provided):
		return failure{provided, ExitUsage}, true
	case errors.As(err, &change):
		return failure{change, ExitUnknown}, true
	case errors.As(err, &submission):
		return failure{submission, ExitUnknown}, true
	case errors.As(err, &usage):
		return failure{usage, ExitUsage}, true
	case errors.As(err, &file):
		return failure{file, ExitUsage}, true
	case errors.As(err, &lagging):
		return failure{lagging, ExitLagging}, true
	case errors.As(err, &invalid):
		return failure{invalid, ExitUsage}, true
	}
	return failure{}, false
}

func classifyConfig(err error) (failure, bool) {
	var (
		file    *config.FileError
		invalid *config.InvalidError
		exposed *config.ExposedError
		token   *auth.InvalidTokenError
	)
	switch {
	case errors.As(err, &file):
		return failure{file, ExitUsage}, true
	case errors.As(err, &invalid):
		return failure{invalid, ExitUsage}, true
	case errors.As(err, &exposed):
		return failure{exposed, ExitUsage}, true
	case errors.As(err, &token):
		return failure{token, ExitUsage}, true
	}
	return failure{}, false
}

func classifyAnswer(err error) (failure, bool) {
	var unreachable *api.UnreachableError
	var unknown *api.UnknownOutcomeError
	var answered *api.Error
	switch {
	case errors.As(err, &unreachable):
		return failure{unreachable, ExitUnavailable}, true
	case errors.As(err, &unknown):
		return failure{unknown, ExitUnknown}, true
	case errors.As(err, &answered):
		code, ok := exitByCode[answered.Code]
		if !ok {
			code = ExitFailure
		}
		return failure{answered, code}, true
	}
	return failure{}, false
}

func classifyJob(err error) (failure, bool) {
	var (
		conflict    *job.ConflictError
		missing     *job.NotFoundError
		invalid     *job.InvalidError
		tooLarge    *job.TooLargeError
		unavailable *job.UnavailableError
		unknown     *job.UnknownError
	)
	switch {
	case errors.As(err, &conflict):
		return failure{conflict, ExitConflict}, true
	case errors.As(err, &missing):
		return failure{missing, ExitNotFound}, true
	case errors.As(err, &invalid):
		return failure{invalid, ExitUsage}, true
	case errors.As(err, &tooLarge):
		return failure{tooLarge, ExitUsage}, true
	case errors.As(err, &unavailable):
		return failure{unavailable, ExitUnavailable}, true
	case errors.As(err, &unknown):
		return failure{unknown, ExitUnknown}, true
	}
	return failure{}, false
}
