package proof

import (
	"bytes"
	"context"
	"testing"
	"time"

	"tanagerstack.org/stand/load"
)

// loading is a load run beside what the test does.
type loading struct {
	opts   load.Options
	report *load.Report
	err    error
	done   chan struct{}
}

// startLoad starts a load run; finish waits for it.
func startLoad(opts load.Options) *loading {
	l := &loading{opts: opts, done: make(chan struct{})}
	go l.run()
	return l
}

func (l *loading) run() {
	l.report, l.err = load.Run(context.Background(), l.opts)
	close(l.done)
}

// finish fails the test where a promise was broken.
func (l *loading) finish(t *testing.T) *load.Report {
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

func TestWholePathWithAKilledEntryVM(t *testing.T) {
	f := startFleet(t, options{domains: 3, entries: 2, targets: 5, workers: 5})
	l := startLoad(f.loadOptions(6 * time.Second))
	time.Sleep(2 * time.Second)
	f.entries[f.random.Intn(len(f.entries))].kill()
	report := l.finish(t)
	if report.Completed < 500 {
		t.Errorf("only %d requests and jobs were completed", report.Completed)
	}
}
