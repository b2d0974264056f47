// Package sim has stand-ins of the users' platform for the review: the store, the workers, the
// clients, and the supervisor that runs tanager-platform as processes.
package sim

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

// NewRecord creates the record file that the environment variable RECORD names.
func NewRecord() (*Record, error) {
	file, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	return &Record{out: bufio.NewWriter(file), file: file, began: time.Now()}, nil
}

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Line writes a line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf("%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close flushes and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
