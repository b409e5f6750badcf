// Command knownred runs a `go test` command and compares its results with
// KNOWN-RED.txt: it tolerates only the failures listed there, prints them, and
// fails when a listed test passes or does not run. A listed test that is marked
// as flaky may pass.
//
// Packages with a step of their own are named: -except PATH judges the entries of
// all other packages, -only PATH those of the package. The two together judge each
// entry once.
//
// Usage: knownred [-except PATH | -only PATH] -- go test ./...
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const (
	listFile    = "KNOWN-RED.txt"
	maxLineSize = 16 << 20
)

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testResults collects the results of the tests. Names are "package Test".
type testResults struct {
	passed, failed, skipped []string
	failedPackages          []string // failed without a failed test
	output                  map[string][]string
}

// scope selects the entries of the list that a step judges.
type scope struct{ only, except string } // import paths; empty: not given

// covers reports whether the scope contains a test.
func (s scope) covers(name string) bool {
	path, _, _ := strings.Cut(name, " ")
	return (s.only == "" || path == s.only) && path != s.except
}

// narrow returns the names that the scope covers.
func (s scope) narrow(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !s.covers(name) })
}

func main() {
	var s scope
	flag.StringVar(&s.only, "only", "", "judge only the entries of this package")
	flag.StringVar(&s.except, "except", "", "leave out the entries of this package")
	flag.Parse()
	if err := run(s, flag.Args(), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// MismatchError reports how the results differ from the list.
type MismatchError struct {
	Unexpected []string // failed and not listed
	NotFailed  []string // listed and not failed
}

// InconclusiveError reports a test command that had no failed test but exited
// with an error or passed no test.
type InconclusiveError struct {
	Command string
	Cause   error // why the command failed; nil if it succeeded
}

func (e *InconclusiveError) Error() string {
	return fmt.Sprintf("%s told of no test that decides; it ended with: %v", e.Command, e.Cause)
}

// Unwrap returns the cause.
func (e *InconclusiveError) Unwrap() error { return e.Cause }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("%d failures not listed in %s %v, %d entries not red %v",
		len(e.Unexpected), listFile, e.Unexpected, len(e.NotFailed), e.NotFailed)
}

func run(s scope, args []string, w io.Writer) error {
	listed, flaky, err := readList(listFile)
	if err != nil {
		return err
	}
	listed, flaky = s.narrow(listed), s.narrow(flaky)
	result, err := runTests(args)
	if err != nil {
		return err
	}
	mismatch := compare(result, listed, flaky)
	report(w, result, listed, mismatch)
	if len(mismatch.Unexpected)+len(mismatch.NotFailed) > 0 {
		return mismatch
	}
	return nil
}

// readList reads the names of the tests that are listed as failing: in each line
// that is not empty or a comment, the text before the first "|". Tests whose next
// field begins with "flaky" fail in some runs only. A missing file is an empty
// list.
func readList(path string) (names, flaky []string, err error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	for line := range strings.Lines(string(data)) {
		name, rest, _ := strings.Cut(line, "|")
		name = strings.TrimSpace(name)
		if name != "" && !strings.HasPrefix(name, "#") {
			names = append(names, name)
			if strings.HasPrefix(strings.TrimSpace(rest), "flaky") {
				flaky = append(flaky, name)
			}
		}
	}
	return names, flaky, nil
}

func runTests(args []string) (*testResults, error) {
	args = append(slices.Clone(args), "-json")
	cmd := exec.CommandContext(context.Background(), args[0], args[1:]...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	result := collect(stdout)
	err = cmd.Wait()
	failures := len(result.failed) + len(result.failedPackages)
	if failures == 0 && (err != nil || len(result.passed) == 0) {
		return nil, &InconclusiveError{Command: strings.Join(args, " "), Cause: err}
	}
	return result, nil
}

func collect(r io.Reader) *testResults {
	result := &testResults{output: make(map[string][]string)}
	failedIn := make(map[string]bool)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineSize)
	for scanner.Scan() {
		var ev event
		if json.Unmarshal(scanner.Bytes(), &ev) != nil {
			continue
		}
		result.add(ev, failedIn)
	}
	return result
}

func (results *testResults) add(ev event, failedIn map[string]bool) {
	name := ev.Package + " " + ev.Test
	switch {
	case ev.Action == "output":
		results.output[name] = append(results.output[name], ev.Output)
	case ev.Action == "fail" && ev.Test == "":
		if !failedIn[ev.Package] {
			results.failedPackages = append(results.failedPackages, ev.Package)
		}
	case ev.Action == "fail":
		failedIn[ev.Package] = true
		results.failed = append(results.failed, name)
	case ev.Action == "pass" && ev.Test != "":
		results.passed = append(results.passed, name)
	case ev.Action == "skip" && ev.Test != "":
		results.skipped = append(results.skipped, name)
	}
}

func compare(results *testResults, listed, flaky []string) *MismatchError {
	mismatch := &MismatchError{Unexpected: slices.Clone(results.failedPackages)}
	for _, name := range results.failed {
		if !isListed(name, results.failed, listed) {
			mismatch.Unexpected = append(mismatch.Unexpected, name)
		}
	}
	for _, name := range listed {
		// A flaky test that passes once may still be faulty.
		if !slices.Contains(results.failed, name) && !slices.Contains(flaky, name) {
			mismatch.NotFailed = append(mismatch.NotFailed, name)
		}
	}
	return mismatch
}

// isListed reports whether a failure is listed, or is that of a parent test that
// failed only because of listed subtests.
func isListed(name string, failed, listed []string) bool {
	if slices.Contains(listed, name) {
		return true
	}
	children := 0
	for _, other := range failed {
		if !strings.HasPrefix(other, name+"/") {
			continue
		}
		children++
		if !isListed(other, failed, listed) {
			return false
		}
	}
	return children > 0
}

func report(w io.Writer, results *testResults, listed []string, mismatch *MismatchError) {
	for _, name := range mismatch.Unexpected {
		fmt.Fprintf(w, "--- FAIL: %s\n%s", name, strings.Join(results.output[name], ""))
		fmt.Fprint(w, strings.Join(results.output[name+" "], ""))
	}
	for _, name := range listed {
		fmt.Fprintln(w, "known red:", name)
	}
	for _, name := range mismatch.NotFailed {
		fmt.Fprintln(w, "listed as red but did not fail:", name)
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", len(results.passed), len(results.failed), len(results.skipped))
}
