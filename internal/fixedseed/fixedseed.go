// Package fixedseed sets the same seed for rapid in every run, so that tests are
// reproducible. Import it for its side effect in tests that use rapid; a
// -rapid.seed on the command line takes precedence.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
