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

// New returns a logger that writes to w, with keys and values that all its lines
// carry. Lines of libraries that log through klog go the same way.
func New(w io.Writer, keysAndValues ...any) *Logger {
	out := newQueue(w)
	l := &Logger{
		out:    out,
		plain:  slog.New(slog.NewJSONHandler(lineWriter{out, false}, nil)).With(flat(keysAndValues)...),
		urgent: slog.New(slog.NewJSONHandler(lineWriter{out, true}, nil)).With(flat(keysAndValues)...),
	}
	klog.SetSlogLogger(l.urgent)
	return l
}

// Info writes a line about a decision or a change.
func (l *Logger) Info(message string, keysAndValues ...any) {
	l.plain.Info(message, flat(keysAndValues)...)
}

// Warn writes a line about a failure.
func (l *Logger) Warn(message string, keysAndValues ...any) {
	l.urgent.Log(context.Background(), slog.LevelWarn, message, flat(keysAndValues)...)
}

// Dropped returns how many lines were lost so far.
func (l *Logger) Dropped() int64 { return l.out.dropped.Load() }

// Close writes what is queued, for as long as the output takes lines.
func (l *Logger) Close() { l.out.close() }

// flat turns values into text where that is their usual form in logs.
func flat(keysAndValues []any) []any {
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
