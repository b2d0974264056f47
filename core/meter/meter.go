package meter

import (
	"context"
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Meter holds the counts of one process. The zero value is ready for use, and it
// is safe for concurrent use. A nil Meter counts nothing.
type Meter struct {
	once  sync.Once
	bytes *prometheus.CounterVec
}

// Sent counts bytes that were sent for a use.
func (m *Meter) Sent(use string, bytes int) { m.add(use, "sent", bytes) }

// Received counts bytes that were received for a use.
func (m *Meter) Received(use string, bytes int) { m.add(use, "received", bytes) }

// Dial returns a dialer whose connections count all their bytes for a use.
func (m *Meter) CountingDialer(use string, dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, meter: m, use: use}, nil
	}
}

// Describe implements prometheus.Collector.
func (m *Meter) Describe(out chan<- *prometheus.Desc) { m.counts().Describe(out) }

// Collect implements prometheus.Collector.
func (m *Meter) Collect(out chan<- prometheus.Metric) { m.counts().Collect(out) }

func (m *Meter) add(use, direction string, bytes int) {
	if m != nil {
		m.counts().WithLabelValues(use, direction).Add(float64(bytes))
	}
}

func (m *Meter) counts() *prometheus.CounterVec {
	m.once.Do(func() {
		m.bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "tanager", Name: "bytes_total",
			Help: "Bytes exchanged, by use. Connections between VMs count message bodies only.",
		}, []string{"use", "direction"})
	})
	return m.bytes
}

// conn counts what it carries.
type conn struct {
	net.Conn
	meter *Meter
	use   string
}

// Read counts the bytes it returns.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Received(c.use, n)
	return n, err
}

// Write counts the bytes it has written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Sent(c.use, n)
	return n, err
}
