// Package strictjson decodes hand-written JSON. Unlike encoding/json it rejects
// unknown and repeated names, names in another case, null and trailing data, and
// its errors name the path of the offending value.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// SyntaxError reports text that is not exactly one JSON value.
type SyntaxError struct {
	Offset int64 // in bytes
	Reason string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("not valid JSON at byte %d: %s", e.Offset, e.Reason)
}

// ValueError reports a value that does not match the type or name expected at its
// path.
type ValueError struct {
	Path   string // names joined by dots; "" is the whole value
	Reason string
}

func (e *ValueError) Error() string {
	if e.Path == "" {
		return e.Reason
	}
	return e.Path + ": " + e.Reason
}

// Decode decodes data into target, a non-nil pointer. Errors are
// *SyntaxError or *ValueError.
func Decode(data []byte, target any) error {
	if err := checkSyntax(data); err != nil {
		return err
	}
	w := walker{dec: json.NewDecoder(bytes.NewReader(data))}
	w.dec.UseNumber()
	if err := w.checkValue(reflect.TypeOf(target).Elem(), ""); err != nil {
		return err
	}
	if err := json.Unmarshal(data, target); err != nil {
		return eris.Wrap(&ValueError{Reason: err.Error()}, "strictjson")
	}
	return nil
}

func checkSyntax(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		return syntaxError(err, int64(len(data)))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return eris.Wrap(&SyntaxError{Offset: dec.InputOffset(), Reason: "data after the value"}, "strictjson")
	}
	return nil
}

func syntaxError(err error, size int64) error {
	e := &SyntaxError{Offset: size, Reason: "unexpected end"}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		e.Offset, e.Reason = syntax.Offset, syntax.Error()
	}
	return eris.Wrap(e, "strictjson")
}

// walker compares the tokens of a value with its target type.
type walker struct{ dec *json.Decoder }

func invalid(path, format string, args ...any) error {
	return eris.Wrap(&ValueError{Path: path, Reason: fmt.Sprintf(format, args...)}, "strictjson")
}

const maxNameBytes = 80

// Printable returns name in a form for one line of an error: truncated to 80
// bytes and "...", and quoted if it has characters that need escaping.
func Printable(name string) string {
	if len(name) > maxNameBytes {
		name = strings.ToValidUTF8(name[:maxNameBytes], "") + "..."
	}
	if quoted := strconv.Quote(name); quoted != `"`+name+`"` {
		return quoted
	}
	return name
}

// Join appends a name to a path.
func Join(path, name string) string {
	name = Printable(name)
	if path == "" {
		return name
	}
	return path + "." + name
}

var (
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	rawType         = reflect.TypeFor[json.RawMessage]()
)

func (w *walker) checkValue(t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == rawType || t.Kind() == reflect.Interface {
		return w.skipValue(path)
	}
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		return w.checkScalar(t, path)
	}
	switch t.Kind() {
	case reflect.Struct:
		return w.checkObject(path, "an object", structFields(t))
	case reflect.Map:
		return w.checkObject(path, "an object", func(string) (reflect.Type, bool) { return t.Elem(), true })
	case reflect.Slice:
		return w.checkList(t.Elem(), path)
	default:
		return w.checkScalar(t, path)
	}
}

func (w *walker) skipValue(path string) error {
	var raw json.RawMessage
	if err := w.dec.Decode(&raw); err != nil {
		return invalid(path, "%v", err)
	}
	return nil
}

// checkScalar checks a scalar, or a value with its own unmarshaler, by decoding it.
func (w *walker) checkScalar(t reflect.Type, path string) error {
	var raw json.RawMessage
	if err := w.dec.Decode(&raw); err != nil {
		return invalid(path, "%v", err)
	}
	if string(raw) == "null" {
		return invalid(path, "null is not a value, leave the name out")
	}
	if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
		return invalid(path, "%s is not %s", shorten(raw), describe(t))
	}
	return nil
}

const maxShownBytes = 40

func shorten(raw []byte) string {
	var flat bytes.Buffer
	if json.Compact(&flat, raw) != nil || flat.Len() <= maxShownBytes {
		return flat.String()
	}
	return strings.ToValidUTF8(flat.String()[:maxShownBytes], "") + "..."
}

func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	default:
		return "a " + t.Name()
	}
}

func (w *walker) open(path, want string, delim json.Delim) error {
	token, err := w.dec.Token()
	if err != nil {
		return invalid(path, "%v", err)
	}
	if token != delim {
		return invalid(path, "must be %s", want)
	}
	return nil
}

func (w *walker) close(path string) error {
	if _, err := w.dec.Token(); err != nil {
		return invalid(path, "%v", err)
	}
	return nil
}

func (w *walker) checkObject(path, want string, field func(string) (reflect.Type, bool)) error {
	if err := w.open(path, want, '{'); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for w.dec.More() {
		token, err := w.dec.Token()
		if err != nil {
			return invalid(path, "%v", err)
		}
		name, _ := token.(string)
		fieldPath := Join(path, name)
		t, known := field(name)
		if !known {
			return invalid(fieldPath, "unknown name")
		}
		if seen[name] {
			return invalid(fieldPath, "given twice")
		}
		seen[name] = true
		if err := w.checkValue(t, fieldPath); err != nil {
			return err
		}
	}
	return w.close(path)
}

func (w *walker) checkList(elem reflect.Type, path string) error {
	if err := w.open(path, "a list", '['); err != nil {
		return err
	}
	for i := 0; w.dec.More(); i++ {
		if err := w.checkValue(elem, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return w.close(path)
}

// fieldTypes caches the types of a struct's fields by JSON name. It is keyed by
// the struct's reflect.Type.
var fieldTypes sync.Map

// structFields returns a function that finds the type of t's fields by JSON name.
func structFields(t reflect.Type) func(string) (reflect.Type, bool) {
	known, ok := fieldTypes.Load(t)
	if !ok {
		known, _ = fieldTypes.LoadOrStore(t, readFields(t))
	}
	fields := known.(map[string]reflect.Type)
	return func(name string) (reflect.Type, bool) {
		ft, ok := fields[name]
		return ft, ok
	}
}

func readFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for _, f := range reflect.VisibleFields(t) {
		if name, ok := FieldName(f); ok {
			fields[name] = f.Type
		}
	}
	return fields
}

// FieldName returns the JSON name of a struct field, and false if the field has
// none.
func FieldName(f reflect.StructField) (string, bool) {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name, name != "" && name != "-"
}
