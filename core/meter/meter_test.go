package meter

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// echo sends back the first three bytes that it receives.
type echo struct {
	conn net.Conn
	done chan error
}

func (e *echo) run() {
	_, err := io.CopyN(e.conn, e.conn, 3)
	e.done <- err
}

// TestMeterCountsByUse checks that bytes of connections and of messages are counted by use
// and direction.
func TestMeterCountsByUse(t *testing.T) {
	var m Meter
	near, far := net.Pipe()
	dial := m.CountingDialer("store", func(context.Context, string, string) (net.Conn, error) { return near, nil })
	c, err := dial(context.Background(), "tcp", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{conn: far, done: make(chan error, 1)}
	go e.run()
	if _, err := c.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	if err := <-e.done; err != nil {
		t.Fatal(err)
	}
	m.Sent("news", 5)
	for name, c := range map[string]struct {
		use, direction string
		want           float64
	}{
		"bytes written":    {"store", "sent", 3},
		"bytes read":       {"store", "received", 3},
		"message sent":     {"news", "sent", 5},
		"nothing received": {"news", "received", 0},
	} {
		if got := testutil.ToFloat64(m.bytes.WithLabelValues(c.use, c.direction)); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestNilMeterCountsNothing checks that a nil Meter does not panic.
func TestNilMeterCountsNothing(_ *testing.T) {
	var m *Meter
	m.Sent("store", 1)
	m.Received("store", 1)
}
