package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// Logger writes structured lines. It is safe for concurrent use.
type Logger struct {
	out    *queue
	plain  *slog.Logger
	urgent *slog.Logger
}

// New returns a logger that writes to w and adds the given key-value pairs to each line. It
// also becomes the output of klog, which libraries use, for the whole process; lines from
// klog may use the part of the queue that is reserved for warnings.
func New(w io.Writer, keysAndValues ...any) *Logger {
	out := newQueue(w)
	l := &Logger{
		out:    out,
		plain:  slog.New(slog.NewJSONHandler(lineWriter{out, false}, nil)).With(textValues(keysAndValues)...),
		urgent: slog.New(slog.NewJSONHandler(lineWriter{out, true}, nil)).With(textValues(keysAndValues)...),
	}
	klog.SetSlogLogger(l.urgent)
	return l
}

// Info logs a decision or a change of state.
func (l *Logger) Info(message string, keysAndValues ...any) {
	l.plain.Info(message, textValues(keysAndValues)...)
}

// Warn logs a failure. Warnings are the last lines to be dropped.
func (l *Logger) Warn(message string, keysAndValues ...any) {
	l.urgent.Log(context.Background(), slog.LevelWarn, message, textValues(keysAndValues)...)
}

// Dropped returns the number of lines dropped so far.
func (l *Logger) Dropped() int64 { return l.out.dropped.Load() }

// Close writes the queued lines and ends the writer. It returns after at most 500 ms, even if
// the output is blocked.
func (l *Logger) Close() { l.out.close() }

// textValues returns the list with errors and Stringers replaced by their text.
func textValues(keysAndValues []any) []any {
	list := make([]any, len(keysAndValues))
	for i, value := range keysAndValues {
		switch v := value.(type) {
		case error:
			list[i] = v.Error()
		case fmt.Stringer:
			list[i] = v.String()
		default:
			list[i] = value
		}
	}
	return list
}
