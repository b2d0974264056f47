package cell

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tanagerstack.org/core/engine"
	"tanagerstack.org/core/jobs"
	"tanagerstack.org/core/meter"
)

const (
	// frameBytes bounds a frame: a thousand reports of full workers.
	frameBytes = 8 << 20
	// framePause is the least time between two frames of one direction, so that
	// orders to many workers share one. It delays a start by half of it on average.
	framePause = 8 * time.Millisecond
	// keepAlive is the time after which a frame is sent even if it is empty, and
	// silentAfter how long a link may bring nothing before it is given up: three
	// frames missed, so that a worker's look through it is lost before the worker is.
	keepAlive   = 200 * time.Millisecond
	silentAfter = 700 * time.Millisecond
)

// errFrame means that a frame cannot be read.
var errFrame = errors.New("frame cannot be read")

// orderFrame is what a leader sends through a link. An empty one only keeps the link alive.
type orderFrame struct {
	Orders []relayOrder `cbor:"1,keyasint,omitempty"`
	// Specs are those of the jobs that the starts are of, since many starts share one.
	Specs map[jobs.ID]jobs.Spec `cbor:"2,keyasint,omitempty"`
}

// relayOrder is one order. One of the three is set.
type relayOrder struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Start *startOrder
	Stop  *stopOrder
	Look  *lookOrder
	// spec is that of the job that a start is of; the frame carries it once.
	spec jobs.Spec
}

type startOrder struct {
	_          struct{} `cbor:",toarray"`
	Worker     string
	Address    netip.AddrPort
	Task       wireTask
	Run        int
	Until      time.Duration
	Fence      int64
	Ticket     string
	Checkpoint string
}

type stopOrder struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Address netip.AddrPort
	Task    wireTask
	Run     int
	Fence   int64
}

type lookOrder struct {
	_         struct{} `cbor:",toarray"`
	Worker    string
	Address   netip.AddrPort
	Fence     int64
	Until     time.Duration
	Confirmed int64
	Wait      time.Duration
}

// wireTask is a task's name without field names.
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

// resultFrame is what a relay sends back.
type resultFrame struct {
	Results []relayResult `cbor:"1,keyasint,omitempty"`
}

// relayResult is what became of an order.
type relayResult struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Outcome engine.StartOutcome
	// Repeated says that a start may reach the worker once more.
	Repeated bool
	// Superseded says that the worker has obeyed a later leader.
	Superseded bool
	// Problem says why an order failed, or is empty.
	Problem string
	Report  *wireReport
}

type wireReport struct {
	_       struct{} `cbor:",toarray"`
	Clock   time.Duration
	Born    int64
	Running []wireRunning
	Ended   []wireEnded
}

type wireRunning struct {
	_          struct{} `cbor:",toarray"`
	Task       wireTask
	Run        int
	Checkpoint string
	Percent    int
}

type wireEnded struct {
	_          struct{} `cbor:",toarray"`
	Sequence   int64
	Task       wireTask
	Run        int
	End        jobs.End
	Checkpoint string
}

func encodeReport(r engine.Report) *wireReport {
	w := &wireReport{Clock: r.Clock, Born: r.StartedAt.UnixMilli()}
	for _, row := range r.Running {
		w.Running = append(w.Running, wireRunning{Task: encodeTask(row.Task), Run: row.Run, Checkpoint: row.Checkpoint, Percent: row.Percent})
	}
	for _, row := range r.Results {
		w.Ended = append(w.Ended, wireEnded{Sequence: row.Sequence, Task: encodeTask(row.Task), Run: row.Run, End: row.End, Checkpoint: row.Checkpoint})
	}
	return w
}

func (w *wireReport) decode() engine.Report {
	r := engine.Report{Clock: w.Clock, StartedAt: time.UnixMilli(w.Born)}
	for _, row := range w.Running {
		r.Running = append(r.Running, engine.ActiveRun{Task: row.Task.decode(), Run: row.Run, Checkpoint: row.Checkpoint, Percent: row.Percent})
	}
	for _, row := range w.Ended {
		r.Results = append(r.Results, engine.RunResult{Sequence: row.Sequence, Task: row.Task.decode(), Run: row.Run, End: row.End, Checkpoint: row.Checkpoint})
	}
	return r
}

// frameConn sends and receives frames: a length of four bytes, then CBOR.
type frameConn struct {
	conn  net.Conn
	in    *bufio.Reader
	meter *meter.Meter
	once  sync.Once
}

func newFrameConn(conn net.Conn, in *bufio.Reader, m *meter.Meter) *frameConn {
	return &frameConn{conn: conn, in: in, meter: m}
}

// writeFrame sends one frame.
func writeFrame[F any](c *frameConn, frame F) error {
	data, err := cbor.Marshal(frame)
	if err != nil {
		return fmt.Errorf("encode %T: %w", frame, err)
	}
	if len(data) > frameBytes {
		return fmt.Errorf("%w: %d bytes", errFrame, len(data))
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(silentAfter)); err != nil {
		return err
	}
	c.meter.Sent(pathRelay, len(data))
	_, err = c.conn.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data))), data...))
	return err
}

// readFrame waits for one frame, for as long as a link may be silent.
func readFrame[F any](c *frameConn) (F, error) {
	var frame F
	if err := c.conn.SetReadDeadline(time.Now().Add(silentAfter)); err != nil {
		return frame, err
	}
	var header [4]byte
	if _, err := io.ReadFull(c.in, header[:]); err != nil {
		return frame, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > frameBytes {
		return frame, fmt.Errorf("%w: %d bytes", errFrame, size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(c.in, data); err != nil {
		return frame, err
	}
	c.meter.Received(pathRelay, len(data))
	if err := cbor.Unmarshal(data, &frame); err != nil {
		return frame, fmt.Errorf("%w: %w", errFrame, err)
	}
	return frame, nil
}

func (c *frameConn) close() { c.once.Do(func() { _ = c.conn.Close() }) }
