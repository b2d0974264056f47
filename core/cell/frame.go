package cell

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/meter"
)

const (
	// maxFrameBytes bounds a frame: a thousand poll reports of fully used workers.
	maxFrameBytes = 8 << 20
	// firstFrameBytes is the first piece that is allocated for a frame, before its bytes arrive.
	// frameCost is what a byte of a frame takes of the budget: it is read and decoded.
	firstFrameBytes = 16 << 10
	frameCost       = 2
	// frameInterval is the minimum time between two frames in one direction, so that commands
	// to many workers share a frame. It delays a start by half of that on average.
	frameInterval = 8 * time.Millisecond
	// keepAliveInterval is the time after which a frame is sent even if it is empty.
	// linkTimeout is how long a link may be silent before it is closed: three missed frames, so
	// that a poll through the link fails before its worker counts as lost.
	keepAliveInterval = 200 * time.Millisecond
	linkTimeout       = 700 * time.Millisecond
)

// errBadFrame means that a frame is too long or cannot be decoded.
var errBadFrame = errors.New("invalid frame")

// commandFrame is a frame from a leader to a relay. An empty one only keeps the link alive.
type commandFrame struct {
	Commands []relayCommand `cbor:"1,keyasint,omitempty"`
	// Specs holds the specs of the jobs that are started, since many starts share one.
	Specs map[jobs.ID]jobs.Spec `cbor:"2,keyasint,omitempty"`
}

// relayCommand is one command. Exactly one of Start, Stop and Poll is set.
type relayCommand struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Start *startCommand
	Stop  *stopCommand
	Poll  *pollCommand
	// spec is the spec of the job that is started. The frame carries it once per job.
	spec jobs.Spec
}

// startCommand is the encoded form of engine.Start.
type startCommand struct {
	_          struct{} `cbor:",toarray"`
	Worker     string
	Address    netip.AddrPort
	Task       wireTask
	Run        int
	LeaseUntil time.Duration
	Fence      int64
	Ticket     string
	Checkpoint string
}

// stopCommand is the encoded form of engine.Stop.
type stopCommand struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Address netip.AddrPort
	Task    wireTask
	Run     int
	Fence   int64
}

// pollCommand is the encoded form of engine.PollRequest and its wait.
type pollCommand struct {
	_          struct{} `cbor:",toarray"`
	Worker     string
	Address    netip.AddrPort
	Fence      int64
	LeaseUntil time.Duration
	AckedUpTo  int64
	Wait       time.Duration
}

// wireTask is an encoded task ID without field names.
type wireTask struct {
	_          struct{} `cbor:",toarray"`
	Job        jobs.ID
	Occurrence int
	Step       int
	Index      int
}

func encodeTask(t jobs.TaskID) wireTask {
	return wireTask{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

func (t wireTask) decode() jobs.TaskID {
	return jobs.TaskID{StepID: jobs.StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}, Index: t.Index}
}

// resultFrame is a frame from a relay to a leader.
type resultFrame struct {
	Results []relayResult `cbor:"1,keyasint,omitempty"`
}

// relayResult is the outcome of one command.
type relayResult struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Outcome engine.StartOutcome
	// Repeated is true if a start may reach the worker once more.
	Repeated bool
	// Superseded is true if the worker has accepted a later epoch.
	Superseded bool
	// Error is the reason for a failure, or empty.
	Error  string
	Report *wireReport
}

// wireReport is the encoded form of engine.Report. StartedAt is in Unix milliseconds.
type wireReport struct {
	_         struct{} `cbor:",toarray"`
	Clock     time.Duration
	StartedAt int64
	Running   []wireActiveRun
	Results   []wireRunResult
	Unclear   []wireTask
	Skipped   int
}

type wireActiveRun struct {
	_          struct{} `cbor:",toarray"`
	Task       wireTask
	Run        int
	Checkpoint string
	Percent    int
}

type wireRunResult struct {
	_          struct{} `cbor:",toarray"`
	Sequence   int64
	Task       wireTask
	Run        int
	End        jobs.End
	Checkpoint string
}

func encodeReport(r engine.Report) *wireReport {
	w := &wireReport{Clock: r.Clock, StartedAt: r.StartedAt.UnixMilli(), Skipped: r.Skipped}
	for _, row := range r.Running {
		w.Running = append(w.Running, wireActiveRun{Task: encodeTask(row.Task), Run: row.Run, Checkpoint: row.Checkpoint, Percent: row.Percent})
	}
	for _, row := range r.Results {
		w.Results = append(w.Results, wireRunResult{Sequence: row.Sequence, Task: encodeTask(row.Task), Run: row.Run, End: row.End, Checkpoint: row.Checkpoint})
	}
	for _, task := range r.Unclear {
		w.Unclear = append(w.Unclear, encodeTask(task))
	}
	return w
}

func (w *wireReport) decode() engine.Report {
	r := engine.Report{Clock: w.Clock, StartedAt: time.UnixMilli(w.StartedAt), Skipped: w.Skipped}
	for _, row := range w.Running {
		r.Running = append(r.Running, engine.ActiveRun{Task: row.Task.decode(), Run: row.Run, Checkpoint: row.Checkpoint, Percent: row.Percent})
	}
	for _, row := range w.Results {
		r.Results = append(r.Results, engine.RunResult{Sequence: row.Sequence, Task: row.Task.decode(), Run: row.Run, End: row.End, Checkpoint: row.Checkpoint})
	}
	for _, task := range w.Unclear {
		r.Unclear = append(r.Unclear, task.decode())
	}
	return r
}

// frameConn sends and receives frames. A frame is a length of four bytes, big endian, followed
// by CBOR.
type frameConn struct {
	conn  net.Conn
	in    *bufio.Reader
	meter *meter.Meter
	// budget has the bytes of received frames. It is nil for a link that this VM has opened.
	budget frameBudget
	once   sync.Once
}

// frameBudget is what bounds the bytes of received frames. *guard.Conn implements it.
type frameBudget interface {
	Take(n int) error
	// Give gives back all that was taken.
	Give()
}

func newFrameConn(conn net.Conn, in *bufio.Reader, m *meter.Meter) *frameConn {
	budget, _ := conn.(frameBudget)
	return &frameConn{conn: conn, in: in, meter: m, budget: budget}
}

// writeFrame sends one frame.
func writeFrame[F any](c *frameConn, frame F) error {
	data, err := cbor.Marshal(frame)
	if err != nil {
		return fmt.Errorf("encode %T: %w", frame, err)
	}
	if len(data) > maxFrameBytes {
		return fmt.Errorf("%w: length %d exceeds the limit", errBadFrame, len(data))
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(linkTimeout)); err != nil {
		return err
	}
	c.meter.Sent(pathRelay, len(data))
	_, err = c.conn.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data))), data...))
	return err
}

// readFrame waits up to linkTimeout for one frame.
func readFrame[F any](c *frameConn) (F, error) {
	var frame F
	if err := c.conn.SetReadDeadline(time.Now().Add(linkTimeout)); err != nil {
		return frame, err
	}
	var header [4]byte
	if _, err := io.ReadFull(c.in, header[:]); err != nil {
		return frame, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return frame, fmt.Errorf("%w: length %d exceeds the limit", errBadFrame, size)
	}
	data, err := c.readBytes(int(size))
	if err != nil {
		return frame, err
	}
	if c.budget != nil {
		defer c.budget.Give()
	}
	c.meter.Received(pathRelay, len(data))
	if err := messageDecoder.Unmarshal(data, &frame); err != nil {
		return frame, fmt.Errorf("%w: %w", errBadFrame, err)
	}
	return frame, nil
}

// readBytes reads a number of bytes. What it allocates grows as they arrive, and is taken from the
// budget.
func (c *frameConn) readBytes(size int) ([]byte, error) {
	var data []byte
	for len(data) < size {
		n := min(size-len(data), max(len(data), firstFrameBytes))
		if c.budget != nil {
			if err := c.budget.Take(n * frameCost); err != nil {
				c.budget.Give()
				return nil, err
			}
		}
		start := len(data)
		data = slices.Grow(data, n)[:start+n]
		if _, err := io.ReadFull(c.in, data[start:]); err != nil {
			if c.budget != nil {
				c.budget.Give()
			}
			return nil, err
		}
	}
	return data, nil
}

func (c *frameConn) close() { c.once.Do(func() { _ = c.conn.Close() }) }
