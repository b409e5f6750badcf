package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// Change is one change to the tree.
type Change struct {
	ID     string          // unique to this change; only a UUIDv7 is still recognised once its record is archived
	Actor  string          // for the audit trail
	Path   string          // names joined by dots
	Value  json.RawMessage // nil unsets the path
	Expect store.Revision  // revision that the tree must be at; 0: any
}

const (
	maxIDLength    = 64
	maxActorLength = 128
	maxPathLength  = 512
)

// normalise returns c with its value in the form in which it is stored, or an
// *InvalidError if c can't be applied to any tree.
func (c Change) normalise() (Change, error) {
	switch {
	case c.ID == "" || len(c.ID) > maxIDLength || strings.ContainsAny(c.ID, "/ \n"):
		return c, invalidChange("change ID", fmt.Sprintf("must be 1 to %d characters without slash or space", maxIDLength))
	case c.Actor == "" || len(c.Actor) > maxActorLength:
		return c, invalidChange("who", fmt.Sprintf("must be 1 to %d characters", maxActorLength))
	case c.Path == "" || len(c.Path) > maxPathLength:
		return c, invalidChange("path", fmt.Sprintf("must be 1 to %d characters", maxPathLength))
	case c.Value == nil:
		return c, nil
	}
	value, err := json.Marshal(c.Value)
	if err != nil {
		return c, invalidChange(c.Path, "value is not valid JSON")
	}
	if len(value) > MaxChangeBytes {
		return c, invalidChange(c.Path, fmt.Sprintf("value has %d bytes, the limit is %d", len(value), MaxChangeBytes))
	}
	c.Value = value
	return c, nil
}

func invalidChange(path, reason string) error {
	return eris.Wrap(&InvalidError{Path: path, Reason: reason}, "change")
}

// matches reports whether r records the same path and value as c. The caller
// has already compared the IDs.
func (c Change) matches(r Record) bool {
	return r.Path == c.Path && bytes.Equal(r.New, c.Value)
}

// apply returns the tree that results from applying c to t, and the audit
// record of c. It does not change t.
func (c Change) apply(t *Tree, predecessor store.Revision, now time.Time) (*Tree, Record, error) {
	root, err := toRawObject(t)
	if err != nil {
		return nil, Record{}, err
	}
	old, err := replace(root, c.Path, c.Path, c.Value)
	if err != nil {
		return nil, Record{}, err
	}
	data, err := json.Marshal(root)
	if err != nil {
		return nil, Record{}, invalidChange(c.Path, err.Error())
	}
	next, err := Decode(data)
	if err != nil {
		return nil, Record{}, err
	}
	if err := checkImmutable(t, next); err != nil {
		return nil, Record{}, err
	}
	rec := Record{ID: c.ID, Actor: c.Actor, Time: now.UTC(), Path: c.Path, Old: old, New: c.Value, Predecessor: predecessor}
	return next, rec, nil
}

// PathsOverlap reports whether a change at one path can affect the value at
// the other, which is so if they are equal or one contains the other.
func PathsOverlap(a, b string) bool {
	return strings.HasPrefix(a+".", b+".") || strings.HasPrefix(b+".", a+".")
}

// rawObject is a JSON object whose members are not decoded.
type rawObject map[string]json.RawMessage

func toRawObject(t *Tree) (rawObject, error) {
	data, err := t.Encode()
	if err != nil {
		return nil, err
	}
	var n rawObject
	if err := json.Unmarshal(data, &n); err != nil {
		return nil, invalidChange("", err.Error())
	}
	return n, nil
}

// Get returns the JSON at a path of the tree, or the whole tree for the path
// "". Errors are *InvalidError or *NotFoundError.
func (t *Tree) Get(path string) (json.RawMessage, error) {
	value, err := t.Encode()
	if err != nil || path == "" {
		return value, err
	}
	for name := range strings.SplitSeq(path, ".") {
		var n rawObject
		if json.Unmarshal(value, &n) != nil {
			return nil, eris.Wrap(&NotFoundError{Path: path}, "get")
		}
		child, ok := n[name]
		if !ok {
			return nil, eris.Wrap(&NotFoundError{Path: path}, "get")
		}
		value = child
	}
	return value, nil
}

// replace sets the value at path within n, or removes it if value is nil, and
// returns the previous value. It creates missing levels on the path to a new
// value. fullPath is the path from the root of the tree, for errors.
func replace(n rawObject, path, fullPath string, value json.RawMessage) (json.RawMessage, error) {
	name, rest, nested := strings.Cut(path, ".")
	if name == "" {
		return nil, invalidChange(fullPath, "empty name in path")
	}
	old, exists := n[name]
	switch {
	case !exists && value == nil:
		return nil, eris.Wrap(&NotFoundError{Path: fullPath}, "change")
	case nested:
		return replaceBelow(n, name, rest, fullPath, value)
	case len(old) > MaxChangeBytes:
		reason := fmt.Sprintf("replaces %d bytes, the limit is %d; change a smaller part", len(old), MaxChangeBytes)
		return nil, invalidChange(fullPath, reason)
	case value == nil:
		delete(n, name)
	default:
		n[name] = value
	}
	return old, nil
}

func replaceBelow(n rawObject, name, rest, fullPath string, value json.RawMessage) (json.RawMessage, error) {
	child := rawObject{}
	if data, exists := n[name]; exists && json.Unmarshal(data, &child) != nil {
		return nil, invalidChange(fullPath, "goes below a value")
	}
	old, err := replace(child, rest, fullPath, value)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(child)
	if err != nil {
		return nil, invalidChange(fullPath, err.Error())
	}
	n[name] = data
	return old, nil
}

// checkImmutable returns an *ImmutableError if a change removes a data centre
// or team, or changes a field that its shards are named after. It would orphan
// the journals of those shards and the work in them.
func checkImmutable(old, updated *Tree) error {
	for name, before := range old.DataCentres {
		path := "data_centres." + string(name)
		after := updated.DataCentres[name]
		switch {
		case after == nil:
			return immutable(path)
		case after.Cells != before.Cells:
			return immutable(path + ".cells")
		case after.Region != before.Region:
			return immutable(path + ".region")
		}
	}
	for name, before := range old.Teams {
		path := "teams." + string(name)
		after := updated.Teams[name]
		switch {
		case after == nil:
			return immutable(path)
		case after.Shards != before.Shards:
			return immutable(path + ".shards")
		case after.Organisation != before.Organisation:
			return immutable(path + ".organisation")
		case after.Region != before.Region:
			return immutable(path + ".region")
		}
	}
	return nil
}

func immutable(path string) error {
	return eris.Wrap(&ImmutableError{Path: path}, "change")
}
