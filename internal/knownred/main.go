// Command knownred runs a `go test` command and judges it against
// KNOWN-RED.txt: it passes over just the failures listed there, prints them,
// and fails when a listed test passes or did not run.
//
// Usage: knownred -- go test ./...
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
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

// outcome collects what the tests did. Names are "package Test".
type outcome struct {
	passed, failed, skipped []string
	brokenPackages          []string // failed without a failed test
	output                  map[string][]string
}

func main() {
	args := os.Args[1:]
	if len(args) > 0 && args[0] == "--" {
		args = args[1:]
	}
	if err := run(args, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// JudgementError reports why the run as a whole failed.
type MismatchError struct {
	Unexpected []string // failed and not listed
	NotFailed  []string // listed and not failed
}

// UntoldError reports a test command that told of no test, or failed without
// a failed test.
type InconclusiveError struct {
	Command string
	Cause   error // how the command ended; nil for success
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

func run(args []string, w io.Writer) error {
	listed, flaky, err := readList(listFile)
	if err != nil {
		return err
	}
	result, err := runTests(args)
	if err != nil {
		return err
	}
	judgement := judge(result, listed, flaky)
	report(w, result, listed, judgement)
	if len(judgement.Unexpected)+len(judgement.NotFailed) > 0 {
		return judgement
	}
	return nil
}

// readList reads the names of the tests listed as red: in each line that is
// not empty or a comment, the text before the first "|". Those whose next
// field begins with "flaky" fail in some runs only.
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

func runTests(args []string) (*outcome, error) {
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
	failures := len(result.failed) + len(result.brokenPackages)
	if failures == 0 && (err != nil || len(result.passed) == 0) {
		return nil, &InconclusiveError{Command: strings.Join(args, " "), Cause: err}
	}
	return result, nil
}

func collect(r io.Reader) *outcome {
	result := &outcome{output: make(map[string][]string)}
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

func (o *outcome) add(ev event, failedIn map[string]bool) {
	name := ev.Package + " " + ev.Test
	switch {
	case ev.Action == "output":
		o.output[name] = append(o.output[name], ev.Output)
	case ev.Action == "fail" && ev.Test == "":
		if !failedIn[ev.Package] {
			o.brokenPackages = append(o.brokenPackages, ev.Package)
		}
	case ev.Action == "fail":
		failedIn[ev.Package] = true
		o.failed = append(o.failed, name)
	case ev.Action == "pass" && ev.Test != "":
		o.passed = append(o.passed, name)
	case ev.Action == "skip" && ev.Test != "":
		o.skipped = append(o.skipped, name)
	}
}

func judge(o *outcome, listed, flaky []string) *MismatchError {
	j := &MismatchError{Unexpected: slices.Clone(o.brokenPackages)}
	for _, name := range o.failed {
		if !covered(name, o.failed, listed) {
			j.Unexpected = append(j.Unexpected, name)
		}
	}
	for _, name := range listed {
		// A flaky test that passes this time proves nothing.
		if !slices.Contains(o.failed, name) && !slices.Contains(flaky, name) {
			j.NotFailed = append(j.NotFailed, name)
		}
	}
	return j
}

// covered reports whether a failure is listed, or is a parent that failed
// only because of listed subtests.
func covered(name string, failed, listed []string) bool {
	if slices.Contains(listed, name) {
		return true
	}
	children := 0
	for _, other := range failed {
		if !strings.HasPrefix(other, name+"/") {
			continue
		}
		children++
		if !covered(other, failed, listed) {
			return false
		}
	}
	return children > 0
}

func report(w io.Writer, o *outcome, listed []string, j *MismatchError) {
	for _, name := range j.Unexpected {
		fmt.Fprintf(w, "--- FAIL: %s\n%s", name, strings.Join(o.output[name], ""))
		fmt.Fprint(w, strings.Join(o.output[name+" "], ""))
	}
	for _, name := range listed {
		fmt.Fprintln(w, "known red:", name)
	}
	for _, name := range j.NotFailed {
		fmt.Fprintln(w, "listed as red but did not fail:", name)
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", len(o.passed), len(o.failed), len(o.skipped))
}
