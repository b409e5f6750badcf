package member

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the random models a fixed seed; flags of the command line go
// before.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
