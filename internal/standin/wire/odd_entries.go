package wire

import (
	"maps"
	"slices"
	"strings"
)

const (
	// deepNesting is the depth of an entry that few decoders can read: ten times
	// what encoding/json accepts.
	deepNesting = 100_000
	// longText is the length of a text in bytes that no worker has, and which an
	// entry still has room for.
	longText = 700_000
)

// OddEntry is an entry among those of the workers that names no worker to use, such
// as another writer may leave.
type OddEntry struct {
	Name  string
	Value []byte
}

// OddEntries returns entries that differ from a valid one in one way each. The address
// of those that have a valid one is the given one.
func OddEntries(address string) []OddEntry {
	fields := map[string]string{
		"service": `"` + serviceName + `"`, "address": `"` + address + `"`, "zone": `"dc-1"`, "version": `"v1"`, "slots": "8", "state": `"ready"`, "cold_left_ms": "0",
		"seq_no": "7", "born": "1700000000000", "capacity": `{"cpu":8000,"mem_mb":16000,"gpus":0}`, "labels": `["a","r1-1"]`,
	}
	with := func(name, value string) []byte {
		changed := maps.Clone(fields)
		changed[name] = value
		if value == "" {
			delete(changed, name)
		}
		var rows []string
		for _, n := range slices.Sorted(maps.Keys(changed)) {
			rows = append(rows, `"`+n+`":`+changed[n])
		}
		return []byte("{" + strings.Join(rows, ",") + "}")
	}
	valid := with("service", fields["service"])
	lists := strings.Repeat("[", deepNesting) + strings.Repeat("]", deepNesting)
	objects := strings.Repeat(`{"a":`, deepNesting) + "7" + strings.Repeat("}", deepNesting)
	odd := []OddEntry{
		{"nothing", nil}, {"null", []byte("null")}, {"a number", []byte("7")}, {"a text", []byte(`"ready"`)}, {"a list", []byte("[]")}, {"no fields", []byte("{}")},
		{"zero bytes", make([]byte, 64)}, {"unreadable bytes", []byte("\xff\xfe\x00\x81{")}, {"cut short", valid[:len(valid)-9]}, {"data after the entry", slices.Concat(valid, valid)},
		{"deep lists", []byte(lists)}, {"deep objects", []byte(objects)}, {"deep lists without an end", []byte(lists[:deepNesting])},
	}
	for _, f := range []struct{ name, field, value string }{
		{"deep labels", "labels", lists}, {"deep capacity", "capacity", objects}, {"deep unknown field", "unknown", lists},
		{"port out of range", "address", `"127.0.0.1:65536"`}, {"port far out of range", "address", `"127.0.0.1:99999999999999999999"`}, {"port 0", "address", `"127.0.0.1:0"`},
		{"port below 0", "address", `"127.0.0.1:-1"`}, {"port is a name", "address", `"127.0.0.1:http"`}, {"no port", "address", `"127.0.0.1"`}, {"host name", "address", `"localhost:80"`},
		{"no host", "address", `":80"`}, {"no address", "address", `""`}, {"two addresses", "address", `"127.0.0.1:80,127.0.0.1:81"`}, {"any host", "address", `"0.0.0.0:80"`},
		{"address of another family", "address", `"[::1]:80"`}, {"address with a path", "address", `"127.0.0.1:80/x?y"`},
		{"processor too large", "capacity", `{"cpu":9223372036854775807,"mem_mb":16000}`}, {"processor beyond 64 bits", "capacity", `{"cpu":99999999999999999999,"mem_mb":16000}`},
		{"memory too large", "capacity", `{"cpu":8000,"mem_mb":9223372036854775807}`}, {"memory beyond a float", "capacity", `{"cpu":8000,"mem_mb":1e400}`},
		{"accelerators too large", "capacity", `{"cpu":8000,"mem_mb":16000,"gpus":9223372036854775807}`}, {"processor below 0", "capacity", `{"cpu":-9223372036854775808,"mem_mb":16000}`},
		{"processor not a number", "capacity", `{"cpu":NaN,"mem_mb":16000}`}, {"processor infinite", "capacity", `{"cpu":Infinity,"mem_mb":16000}`},
		{"processor a fraction", "capacity", `{"cpu":0.5,"mem_mb":16000}`}, {"processor a text", "capacity", `{"cpu":"8000","mem_mb":16000}`},
		{"start too large", "born", "9223372036854775807"}, {"start beyond 64 bits", "born", "99999999999999999999"}, {"start beyond a float", "born", "1e400"},
		{"start below 0", "born", "-5"}, {"start a text", "born", `"1700000000000"`}, {"slots too large", "slots", "1e400"}, {"sequence number beyond 64 bits", "seq_no", "99999999999999999999"},
		{"service a number", "service", "7"}, {"address an object", "address", "{}"}, {"zone a list", "zone", "[]"}, {"state a truth value", "state", "true"},
		{"capacity a list", "capacity", "[8000,16000]"}, {"labels a text", "labels", `"a"`}, {"labels of numbers", "labels", "[7]"}, {"version a number", "version", "7"}, {"slots a text", "slots", `"8"`},
		{"unknown state", "state", `"resting"`}, {"no service", "service", ""}, {"address missing", "address", ""}, {"no zone", "zone", ""}, {"no state", "state", ""}, {"no capacity", "capacity", ""},
		{"empty service", "service", `""`}, {"empty zone", "zone", `""`},
		{"unreadable text", "service", "\"\xff\xfe\""}, {"long service", "service", `"` + strings.Repeat("<", longText) + `"`}, {"long label", "labels", `["` + strings.Repeat("<", longText) + `"]`},
		{"many labels", "labels", "[" + strings.Repeat(`"a",`, longText/4) + `"a"]`},
	} {
		odd = append(odd, OddEntry{f.name, with(f.field, f.value)})
	}
	return odd
}
