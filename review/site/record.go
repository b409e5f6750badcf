package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	began  time.Time
	breaks []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

// breakRule writes a line about a broken rule.
func (r *record) breakRule(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.breaks = append(r.breaks, text)
	r.write("BROKEN " + text)
}

func (r *record) write(text string) {
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.began).Seconds(), text)
}

func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.breaks)
}

func (r *record) firstBreak() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%s (%d in all)", r.breaks[0], len(r.breaks))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush() // a record that can't be written shows as a short file
	_ = r.file.Close()
}
