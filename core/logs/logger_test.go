package logs

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// TestLinesAreStructured checks that each line is a JSON object, and that durations, errors
// and addresses are logged as text.
func TestLinesAreStructured(t *testing.T) {
	cases := map[string]struct {
		value any
		want  any
	}{
		"duration": {1500 * time.Millisecond, "1.5s"},
		"error":    {errors.New("no answer"), "no answer"},
		"address":  {netip.MustParseAddrPort("127.0.0.1:80"), "127.0.0.1:80"},
		"number":   {7, float64(7)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			l := New(&out, "vm", "vm-1")
			l.Info("decided", "input", c.value)
			l.Close()
			var line map[string]any
			if err := json.Unmarshal(out.Bytes(), &line); err != nil {
				t.Fatalf("%q: %v", out.String(), err)
			}
			if line["msg"] != "decided" || line["vm"] != "vm-1" || line["input"] != c.want {
				t.Errorf("line %v, want input %v", line, c.want)
			}
		})
	}
}

// TestBlockedOutputDoesNotBlock checks that a blocked output does not block callers, that
// dropped lines are counted, and that warnings are the last to be dropped.
func TestBlockedOutputDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	l := New(writer)
	const lines = 3 * queueCapacity
	done := make(chan struct{})
	go (&lineProducer{logger: l, lines: lines, done: done}).run()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("Info blocked while the output was blocked")
	}
	plain := l.Dropped()
	if plain == 0 {
		t.Error("no line was dropped although the output was blocked")
	}
	l.Warn("urgent")
	if got := l.Dropped(); got != plain {
		t.Errorf("a warning was dropped while plain lines were kept")
	}
	received := make(chan string, 1)
	go (&outputReader{reader: reader, received: received}).run()
	l.Close()
	_ = writer.Close()
	if text := <-received; !strings.Contains(text, "log lines dropped") || !strings.Contains(text, "urgent") {
		t.Error("the count of dropped lines or the warning was not written after the output resumed")
	}
}

type lineProducer struct {
	logger *Logger
	lines  int
	done   chan struct{}
}

func (p *lineProducer) run() {
	for i := range p.lines {
		p.logger.Info("line", "number", i)
	}
	close(p.done)
}

type outputReader struct {
	reader   io.Reader
	received chan string
}

func (r *outputReader) run() {
	text, _ := io.ReadAll(r.reader)
	r.received <- string(text)
}

// lossyPipe fails every second write, like a pipe whose reader is too slow. It also fails
// writes that exceed PIPE_BUF, which a pipe may split.
type lossyPipe struct {
	out    bytes.Buffer
	writes int
}

func (p *lossyPipe) Write(data []byte) (int, error) {
	p.writes++
	if len(data) > bufferBytes {
		return 0, errors.New("write exceeds PIPE_BUF and may be split")
	}
	if p.writes%2 == 0 {
		return 0, io.ErrShortWrite
	}
	return p.out.Write(data)
}

// TestLinesAreLostWhole checks that an output with intermittent write errors receives only
// complete lines, and that writing continues after an error. A line cut off by a partial write
// would corrupt the JSON log.
func TestLinesAreLostWhole(t *testing.T) {
	pipe := &lossyPipe{}
	l := New(pipe)
	for i := range 500 {
		l.Info("line", "number", i, "text", strings.Repeat("x", 100))
	}
	l.Close()
	lines := strings.Split(strings.TrimSuffix(pipe.out.String(), "\n"), "\n")
	if len(lines) < 100 {
		t.Errorf("%d lines were written, want about half of 500", len(lines))
	}
	for _, line := range lines {
		if !json.Valid([]byte(line)) {
			t.Errorf("not a complete line: %q", line)
		}
	}
	if l.Dropped() == 0 {
		t.Error("no dropped line was counted")
	}
}
