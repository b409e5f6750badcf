package settings

import (
	"fmt"
	"reflect"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/strictjson"
)

// field is one value: its JSON name and its field indices in Values and
// Resolved.
type field struct {
	name     string
	values   int
	resolved int
}

var fields = pairFields()

func pairFields() []field {
	resolved := make(map[string]int)
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Resolved]()) {
		name, _ := strictjson.FieldName(f)
		resolved[name] = f.Index[0]
	}
	var pairs []field
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Values]()) {
		name, _ := strictjson.FieldName(f)
		pairs = append(pairs, field{name: name, values: f.Index[0], resolved: resolved[name]})
	}
	return pairs
}

// overlayOn returns base with the values that v sets replaced by those of v.
func (v *Values) overlayOn(base Resolved) Resolved {
	from := reflect.ValueOf(v).Elem()
	to := reflect.ValueOf(&base).Elem()
	for _, f := range fields {
		if p := from.Field(f.values); !p.IsNil() {
			to.Field(f.resolved).Set(p.Elem())
		}
	}
	return base
}

// Level is a level of the tree.
type Level string

// Levels, from the least to the most specific.
const (
	LevelDefault      Level = "default" // no level of the tree sets the value
	LevelRoot         Level = "root"
	LevelOrganisation Level = "organisation"
	LevelDataCentre   Level = "data_centre"
	LevelService      Level = "service"
	LevelJobClass     Level = "job_class"
)

// Leaf identifies a leaf of the tree. At most one of Service and JobClass is
// set.
type Leaf struct {
	Organisation fleet.Organisation `json:"organisation"`
	DataCentre   fleet.DataCentre   `json:"data_centre"`
	Service      fleet.Service      `json:"service,omitempty"`
	JobClass     fleet.JobClass     `json:"job_class,omitempty"`
}

// Origin is a value in force and the level that it is inherited from.
type Origin struct {
	Name  string `json:"name"`
	Value any    `json:"value"` // number or Guarantees
	Level Level  `json:"level"`
	Path  string `json:"path,omitempty"` // where the value is set; empty for a default
}

type inheritanceLevel struct {
	level  Level
	path   string
	values *Values
}

// Explain returns every value in force at leaf and the level that it comes
// from, in the order of the fields of Resolved.
func (t *Tree) Explain(leaf Leaf) []Origin {
	levels := t.inheritanceLevels(leaf)
	defaults := DefaultValues()
	origins := make([]Origin, 0, len(fields))
	for _, f := range fields {
		o := Origin{Name: f.name, Level: LevelDefault}
		o.Value = reflect.ValueOf(defaults).Field(f.resolved).Interface()
		for _, s := range levels {
			p := reflect.ValueOf(s.values).Elem().Field(f.values)
			if p.IsNil() {
				continue
			}
			o.Value, o.Level = p.Elem().Interface(), s.level
			o.Path = strictjson.Join(s.path, f.name)
		}
		origins = append(origins, o)
	}
	return origins
}

// inheritanceLevels returns the levels that the tree has for a leaf, from the
// root to the leaf. A later level overrides the ones before it.
func (t *Tree) inheritanceLevels(leaf Leaf) []inheritanceLevel {
	levels := []inheritanceLevel{{LevelRoot, "values", &t.Values}}
	org := t.Organisations[leaf.Organisation]
	if org == nil {
		return levels
	}
	path := "organisations." + string(leaf.Organisation)
	leaves := org.leafLevels(leaf, path)
	levels = append(levels, inheritanceLevel{LevelOrganisation, path + ".values", &org.Values})
	if location := org.DataCentres[leaf.DataCentre]; location != nil {
		path += ".data_centres." + string(leaf.DataCentre)
		levels = append(levels, inheritanceLevel{LevelDataCentre, path + ".values", &location.Values})
		leaves = append(leaves, location.leafLevels(leaf, path)...)
	}
	return append(levels, leaves...)
}

func (l *Leaves) leafLevels(leaf Leaf, path string) []inheritanceLevel {
	var levels []inheritanceLevel
	if v := l.Services[leaf.Service]; v != nil {
		levels = append(levels, inheritanceLevel{LevelService, fmt.Sprintf("%s.services.%s", path, leaf.Service), v})
	}
	if v := l.JobClasses[leaf.JobClass]; v != nil {
		levels = append(levels, inheritanceLevel{LevelJobClass, fmt.Sprintf("%s.job_classes.%s", path, leaf.JobClass), v})
	}
	return levels
}
