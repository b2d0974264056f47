package meter

import (
	"context"
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Meter counts the bytes that one process exchanges. It is a Prometheus collector. The zero
// value is ready for use, and a nil Meter counts nothing. It is safe for concurrent use.
type Meter struct {
	once  sync.Once
	bytes *prometheus.CounterVec
}

// Sent adds to the number of bytes sent for a use.
func (m *Meter) Sent(use string, bytes int) { m.add(use, "sent", bytes) }

// Received adds to the number of bytes received for a use.
func (m *Meter) Received(use string, bytes int) { m.add(use, "received", bytes) }

// CountingDialer wraps dial so that the connections it opens count all their bytes for a use.
func (m *Meter) CountingDialer(use string, dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, meter: m, use: use}, nil
	}
}

// Describe implements prometheus.Collector.
func (m *Meter) Describe(out chan<- *prometheus.Desc) { m.counter().Describe(out) }

// Collect implements prometheus.Collector.
func (m *Meter) Collect(out chan<- prometheus.Metric) { m.counter().Collect(out) }

func (m *Meter) add(use, direction string, bytes int) {
	if m != nil {
		m.counter().WithLabelValues(use, direction).Add(float64(bytes))
	}
}

func (m *Meter) counter() *prometheus.CounterVec {
	m.once.Do(func() {
		m.bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "tanager", Name: "bytes_total",
			Help: "Bytes exchanged, by use. Connections between VMs count message bodies only.",
		}, []string{"use", "direction"})
	})
	return m.bytes
}

// countingConn is a connection that counts its bytes for a use.
type countingConn struct {
	net.Conn
	meter *Meter
	use   string
}

// Read implements net.Conn and counts the bytes read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Received(c.use, n)
	return n, err
}

// Write implements net.Conn and counts the bytes written.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Sent(c.use, n)
	return n, err
}
