package soak

import (
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// buildDaemon builds the daemon under test.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fuchsiahilld")
	out, err := exec.Command("go", "build", "-o", path, "github.com/fuchsiahill/fuchsiahill/cmd/fuchsiahilld").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// seeds holds seeds that once failed, with the cause, and one that never did.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "the checker treated a cancellation without an answer as not requested"},
	{3, "an unanswered start reached the next incarnation of its worker; tokens now increase with each incarnation"},
	{11, ""},
}

func TestSoak(t *testing.T) {
	daemon := buildDaemon(t)
	for _, s := range seeds {
		t.Run(strconv.FormatUint(s.seed, 10), func(t *testing.T) {
			v, err := Run(t.Context(), Options{
				Daemon: daemon, Dir: t.TempDir(), Seed: s.seed, For: 10 * time.Second, Hosts: 4, Workers: 8, Out: t.Output(),
			})
			if err != nil {
				t.Fatal(err)
			}
			if v.Failed() {
				t.Errorf("%+v", v)
			}
		})
	}
}
