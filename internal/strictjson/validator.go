package strictjson

import (
	"errors"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// embeddedName stands for the name of an embedded struct, which JSON omits.
const embeddedName = "\x00"

// NewValidator returns a validator that names values by their JSON names.
func NewValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		if f.Anonymous {
			return embeddedName
		}
		name, _ := FieldName(f)
		return name
	})
	return v
}

// Violation is a validation rule that a value breaks.
type Violation struct {
	Path  string // as in ValueError
	Rule  string // name of the rule in the validate tag
	Param string // of the rule
	Value any
}

// FirstViolation returns the first violation in an error of a validator, and
// false if the error is of another kind.
func FirstViolation(err error) (Violation, bool) {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return Violation{}, false
	}
	f := fields[0]
	return Violation{Path: pathOf(f.Namespace()), Rule: f.Tag(), Param: f.Param(), Value: f.Value()}, true
}

var listIndex = regexp.MustCompile(`^[0-9]+$`)

// pathOf converts a validator's namespace, "Tree.teams[fuel].shards", to a
// path, "teams.fuel.shards". List indexes stay in brackets.
func pathOf(namespace string) string {
	_, rest, _ := strings.Cut(namespace, ".")
	rest = strings.ReplaceAll(rest, embeddedName+".", "")
	var path strings.Builder
	for rest != "" {
		before, after, found := strings.Cut(rest, "[")
		path.WriteString(before)
		if !found {
			break
		}
		key, tail, _ := strings.Cut(after, "]")
		if listIndex.MatchString(key) {
			path.WriteString("[" + key + "]")
		} else {
			path.WriteString("." + key)
		}
		rest = tail
	}
	return path.String()
}
