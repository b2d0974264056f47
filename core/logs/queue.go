package logs

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the number of lines that may wait for the output: a few seconds of the
	// busiest VM's lines, in about a megabyte.
	queueCapacity = 4096
	// urgentReserve is the part of queueCapacity that is reserved for urgent lines.
	urgentReserve = 1024
	// bufferBytes is the size of the write buffer. A pipe accepts a write of up to this size
	// completely or not at all (POSIX, PIPE_BUF), so that lines that a full pipe does not
	// accept are dropped completely, never truncated.
	bufferBytes = 4096
	// closeTimeout limits the wait for a blocked output in close.
	closeTimeout = 500 * time.Millisecond
)

// queue is a bounded queue of lines with a single writer goroutine.
type queue struct {
	lines         chan []byte
	dropped       atomic.Int64
	reportedDrops int64
	output        io.Writer
	buffer        *bufio.Writer
	closing       chan struct{}
	closed        chan struct{}
	once          sync.Once
}

func newQueue(w io.Writer) *queue {
	q := &queue{
		lines:   make(chan []byte, queueCapacity),
		output:  w,
		buffer:  bufio.NewWriterSize(w, bufferBytes),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go q.run()
	return q
}

// enqueue queues a line, or drops it if the part of the queue open to it is full.
func (q *queue) enqueue(line []byte, urgent bool) {
	if !urgent && len(q.lines) >= queueCapacity-urgentReserve {
		q.dropped.Add(1)
		return
	}
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
}

func (q *queue) run() {
	defer close(q.closed)
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-q.closing:
			q.drain()
			return
		}
	}
}

// write adds a line to the buffer. It flushes the buffer first if the line does not fit, and
// afterwards if the queue is empty. It also logs a rise of the number of dropped lines.
func (q *queue) write(line []byte) {
	if len(line) > q.buffer.Available() {
		q.flush()
	}
	if _, err := q.buffer.Write(line); err != nil {
		q.writeFailed()
	}
	if dropped := q.dropped.Load(); dropped > q.reportedDrops {
		q.reportedDrops = dropped
		_, _ = fmt.Fprintf(q.buffer, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", dropped)
	}
	if len(q.lines) == 0 {
		q.flush()
	}
}

func (q *queue) flush() {
	if err := q.buffer.Flush(); err != nil {
		q.writeFailed()
	}
}

// writeFailed discards the buffer after a failed write, so that later lines can be written.
// A failed write cannot be logged; it counts as one dropped line.
func (q *queue) writeFailed() {
	q.dropped.Add(1)
	q.buffer.Reset(q.output)
}

func (q *queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			q.flush()
			return
		}
	}
}

func (q *queue) close() {
	q.once.Do(func() { close(q.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-q.closed:
	case <-timer.C:
	}
}

// lineWriter is the io.Writer of a slog handler. It enqueues each line.
type lineWriter struct {
	queue  *queue
	urgent bool
}

// Write enqueues a copy of the line and always succeeds.
func (w lineWriter) Write(line []byte) (int, error) {
	w.queue.enqueue(append([]byte(nil), line...), w.urgent)
	return len(line), nil
}
