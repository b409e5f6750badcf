package settings

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/strictjson"
)

// namePattern is the format of every name in the tree. It excludes dots, which
// separate the names in a path.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

const nameFormat = "1 to 63 of a-z, 0-9, - and _, beginning with a letter or digit"

var treeValidator = sync.OnceValue(func() *validator.Validate {
	v := strictjson.NewValidator()
	// Registration fails only for an empty tag or function.
	_ = v.RegisterValidation("name", func(fl validator.FieldLevel) bool {
		return namePattern.MatchString(fl.Field().String())
	})
	_ = v.RegisterValidation("window", func(fl validator.FieldLevel) bool {
		return Window(fl.Field().String()).valid()
	})
	return v
})

// allowedRanges returns the text of the allowed range of each field, by its
// JSON name.
var allowedRanges = sync.OnceValue(func() map[string]string {
	ranges := make(map[string]string)
	types := []reflect.Type{
		reflect.TypeFor[Values](), reflect.TypeFor[DataCentre](),
		reflect.TypeFor[Team](), reflect.TypeFor[fleet.Resources](),
	}
	for _, t := range types {
		for _, f := range reflect.VisibleFields(t) {
			name, _ := strictjson.FieldName(f)
			ranges[name] = rangeText(f.Tag.Get("validate"))
		}
	}
	return ranges
})

func rangeText(tag string) string {
	var minimum, maximum string
	for rule := range strings.SplitSeq(tag, ",") {
		key, param, _ := strings.Cut(rule, "=")
		switch key {
		case "gte":
			minimum = param
		case "lte":
			maximum = param
		case "oneof":
			return strings.Join(strings.Fields(param), " or ")
		case "name":
			return nameFormat
		case "window":
			return windowFormat
		}
	}
	switch {
	case minimum != "" && maximum != "":
		return minimum + " to " + maximum
	case minimum != "":
		return "from " + minimum
	default:
		return ""
	}
}

// allowedRange returns the text of the allowed range of the value at path, or
// "" if it has none.
func allowedRange(path string) string {
	names := strings.Split(path, ".")
	if len(names) > 1 && names[len(names)-2] == guaranteeName {
		return windowFormat
	}
	return allowedRanges()[names[len(names)-1]]
}

// Validate checks every value, name and reference of the tree. Errors are
// *InvalidError.
func (t *Tree) Validate() error {
	if err := treeValidator().Struct(t); err != nil {
		return validationError(err)
	}
	if err := t.checkReferences(); err != nil {
		return err
	}
	return t.checkGuarantees()
}

func validationError(err error) error {
	fault, ok := strictjson.FirstViolation(err)
	if !ok {
		return eris.Wrap(&InvalidError{Reason: err.Error()}, "validate")
	}
	e := &InvalidError{Path: fault.Path, Allowed: allowedRange(fault.Path)}
	switch fault.Rule {
	case "required":
		e.Reason = "missing"
	case "max":
		e.Reason = "more than " + fault.Param + " entries"
	case "window":
		e.Path = strictjson.Printable(fault.Path)
		e.Reason = "not a window of the day"
		e.Allowed = windowFormat
	case "name":
		e.Path = strictjson.Printable(fault.Path)
		e.Reason = "not a name"
		e.Allowed = nameFormat
	default:
		e.Reason = fmt.Sprintf("%v is out of range", fault.Value)
	}
	return eris.Wrap(e, "validate")
}

// checkReferences rejects references to organisations, data centres and regions
// that are not defined. Without the check, settings under a misspelt name would
// silently never take effect.
func (t *Tree) checkReferences() error {
	for org, o := range t.Organisations {
		for dc := range o.DataCentres {
			if t.DataCentres[dc] != nil {
				continue
			}
			path := fmt.Sprintf("organisations.%s.data_centres.%s", org, dc)
			return eris.Wrap(&InvalidError{Path: path, Reason: "no such data centre in data_centres"}, "validate")
		}
	}
	for name, team := range t.Teams {
		if t.Organisations[team.Organisation] == nil {
			path := fmt.Sprintf("teams.%s.organisation", name)
			reason := fmt.Sprintf("no organisation %q in organisations", team.Organisation)
			return eris.Wrap(&InvalidError{Path: path, Reason: reason}, "validate")
		}
		if !t.hasRegion(team.Region) {
			path := fmt.Sprintf("teams.%s.region", name)
			reason := fmt.Sprintf("no data centre of region %q in data_centres", team.Region)
			return eris.Wrap(&InvalidError{Path: path, Reason: reason}, "validate")
		}
	}
	return nil
}

func (t *Tree) hasRegion(region fleet.Region) bool {
	for _, dc := range t.DataCentres {
		if dc.Region == region {
			return true
		}
	}
	return false
}
