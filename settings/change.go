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

// Change is one change of the tree.
type Change struct {
	ID     string          // unique to this change; a UUIDv7, so that it is recognised however old
	Actor  string          // for the audit trail
	Path   string          // names joined by dots
	Value  json.RawMessage // nil unsets the path
	Expect store.Revision  // the change is made against this revision; 0: the newest
}

const (
	maxIDLength   = 64
	maxWhoLength  = 128
	maxPathLength = 512
)

// normal returns c with its value as it will be stored, or why c can't be
// applied to any tree.
func (c Change) normalise() (Change, error) {
	switch {
	case c.ID == "" || len(c.ID) > maxIDLength || strings.ContainsAny(c.ID, "/ \n"):
		return c, invalidChange("change ID", fmt.Sprintf("must be 1 to %d characters without slash or space", maxIDLength))
	case c.Actor == "" || len(c.Actor) > maxWhoLength:
		return c, invalidChange("who", fmt.Sprintf("must be 1 to %d characters", maxWhoLength))
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

// same reports whether a record is that of c, so that c was applied before.
func (c Change) matches(r Record) bool {
	return r.Path == c.Path && bytes.Equal(r.New, c.Value)
}

// apply returns the tree after c, and the audit record.
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

// PathsOverlap reports whether a change of one path can change what is at the
// other.
func PathsOverlap(a, b string) bool {
	return strings.HasPrefix(a+".", b+".") || strings.HasPrefix(b+".", a+".")
}

// node is a JSON object whose members are not decoded further.
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

// Get returns the JSON at a path of the tree, the whole tree for "". Errors
// are *InvalidError or *NotFoundError.
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

// replace sets the value at path below n, or removes it if value is nil, and
// returns what was there. It creates the levels on the way to a new value.
// full is the whole path, for errors.
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

// checkImmutable refuses to change or remove what shards are named after:
// their journals and the work in them would be stranded.
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
