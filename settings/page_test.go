package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

var valueRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| [^|]+ \\| ([^|]+) \\| ([^|]+) \\| [^|]+ \\|$")

// docs/SETTINGS.md must list every value with its default and allowed range.
func TestPageListsValues(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]string)
	for _, row := range valueRow.FindAllStringSubmatch(string(page), -1) {
		listed[row[1]] = strings.TrimSpace(row[2]) + " | " + strings.TrimSpace(row[3])
	}
	defaults := reflect.ValueOf(DefaultValues())
	for _, f := range fields {
		want := fmt.Sprintf("%v | %s", defaults.Field(f.resolved).Interface(), allowedRange(f.name))
		if listed[f.name] != want {
			t.Errorf("page lists %s as %q, want %q", f.name, listed[f.name], want)
		}
	}
	if len(listed) != len(fields) {
		t.Errorf("page lists %d values, want %d", len(listed), len(fields))
	}
}

var jsonBlock = regexp.MustCompile("(?s)```json\n(.*?)```")

func TestPageExampleIsValid(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, block := range jsonBlock.FindAllStringSubmatch(string(page), -1) {
		mustDecode(t, block[1])
	}
}
