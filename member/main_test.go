package member

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the rapid tests a fixed seed. Flags on the command line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
