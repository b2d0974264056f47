package proof

import (
	"bytes"
	"context"
	"testing"
	"time"

	"tanagerstack.org/stand/load"
)

// loadRun is a load.Run in the background. done is closed when it has ended.
type loadRun struct {
	opts   load.Options
	report *load.Report
	err    error
	done   chan struct{}
}

// startLoad starts load.Run in the background.
func startLoad(opts load.Options) *loadRun {
	l := &loadRun{opts: opts, done: make(chan struct{})}
	go l.run()
	return l
}

func (l *loadRun) run() {
	l.report, l.err = load.Run(context.Background(), l.opts)
	close(l.done)
}

// finish waits for the end of the run, logs its report, and fails the test if a
// guarantee was violated.
func (l *loadRun) finish(t *testing.T) *load.Report {
	t.Helper()
	<-l.done
	if l.err != nil {
		t.Fatal(l.err)
	}
	var text bytes.Buffer
	l.report.Print(&text)
	t.Log(text.String())
	if err := l.report.Err(); err != nil {
		t.Error(err)
	}
	return l.report
}

// TestWholePathWithAKilledEntryVM kills a random entry VM while requests, jobs and policy
// changes are sent. It guards against wrong answers and against calls that keep failing
// after the loss of one VM.
func TestWholePathWithAKilledEntryVM(t *testing.T) {
	f := startFleet(t, options{domains: 3, entries: 2, targets: 5, workers: 5})
	l := startLoad(f.loadOptions(6 * time.Second))
	time.Sleep(2 * time.Second)
	f.entries[f.random.Intn(len(f.entries))].kill()
	report := l.finish(t)
	if report.Completed < 500 {
		t.Errorf("only %d requests and jobs completed, want at least 500", report.Completed)
	}
}
