package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"tanagerstack.org/core/keys"
)

// forwarder carries UDP packets between nodes and can lose track of the paths
// that exist: it then drops their packets for good, and carries new ones.
type forwarder struct {
	t      *testing.T
	front  *net.UDPConn
	target *net.UDPAddr
	// silenced is the generation of paths up to which packets are dropped.
	silenced, generation atomic.Int64
}

func newForwarder(t *testing.T, target netip.AddrPort) *forwarder {
	t.Helper()
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{t: t, front: front, target: net.UDPAddrFromAddrPort(target)}
	f.generation.Store(1)
	t.Cleanup(func() { _ = front.Close() })
	go f.loop()
	return f
}

// path is one pair of ports.
type path struct {
	f          *forwarder
	client     *net.UDPAddr
	back       *net.UDPConn
	generation int64
}

func (p *path) silent() bool { return p.generation <= p.f.silenced.Load() }

func (f *forwarder) loop() {
	paths := make(map[netip.AddrPort]*path)
	buffer := make([]byte, 1<<16)
	for {
		count, client, err := f.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		p := paths[client.AddrPort()]
		if p == nil {
			back, err := net.DialUDP("udp", nil, f.target)
			if err != nil {
				return
			}
			p = &path{f: f, client: client, back: back, generation: f.generation.Load()}
			paths[client.AddrPort()] = p
			f.t.Cleanup(func() { _ = back.Close() })
			go p.loop()
		}
		if !p.silent() {
			_, _ = p.back.Write(buffer[:count])
		}
	}
}

func (p *path) loop() {
	buffer := make([]byte, 1<<16)
	for {
		count, err := p.back.Read(buffer)
		if err != nil {
			return
		}
		if !p.silent() {
			_, _ = p.f.front.WriteToUDP(buffer[:count], p.client)
		}
	}
}

// silence drops all packets of the paths that exist.
func (f *forwarder) silence() { f.silenced.Store(f.generation.Add(1) - 1) }

// TestSilentConnection has the path go silent while a message waits, and after
// a quiet time. Messages that come later are answered on a new connection, while
// the old one still waits for its idle timeout.
func TestSilentConnection(t *testing.T) {
	f := newFleet(t, "a", "b")
	a, _ := f.node("a", nil)
	_, direct := f.node("b", echoMux())
	fwd := newForwarder(t, direct.Addr)
	b := Address{Name: "b", Addr: fwd.front.LocalAddr().(*net.UDPAddr).AddrPort()}
	call := func(text string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := Call[note](ctx, a, b, note{Text: text})
		return err
	}
	if err := call("x", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	fwd.silence()
	if err := call("lost", SuspectAfter/2); !isError(ErrNoAnswer)(err) {
		t.Fatalf("message into the silent connection ended as %v", err)
	}
	time.Sleep(PingAfter)
	// The old connection has to prove that it is alive now, and fails to.
	if err := call("found", 5*time.Second); err != nil {
		t.Fatalf("message beside the silent connection: %v", err)
	}
	if dials := a.Stats().Dials.Load(); dials < 2 {
		t.Fatalf("%d dials: the answer came over the silent connection", dials)
	}
	fwd.silence()
	if err := call("lost", 2*SuspectAfter); !isError(ErrNoAnswer)(err) {
		t.Fatalf("message into the silent connection ended as %v", err)
	}
	// The lost message has made the connection suspect; no ping is needed.
	if err := call("found", 5*time.Second); err != nil || a.Stats().SuspectConnections.Load() < 2 {
		t.Fatalf("message beside the suspect connection: %v, %d suspects", err, a.Stats().SuspectConnections.Load())
	}
}

// TestSilentAfterAcknowledgment has the path go silent once the peer has
// acknowledged a message, before it answers. The packets of the acknowledgment
// must not make the next message trust the connection.
func TestSilentAfterAcknowledgment(t *testing.T) {
	f := newFleet(t, "a", "b")
	a, _ := f.node("a", nil)
	_, direct := f.node("b", echoMux())
	fwd := newForwarder(t, direct.Addr)
	b := Address{Name: "b", Addr: fwd.front.LocalAddr().(*net.UDPAddr).AddrPort()}
	silent := time.AfterFunc(SuspectAfter/2, fwd.silence)
	defer silent.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 2*SuspectAfter)
	defer cancel()
	if _, err := Call[note](ctx, a, b, note{Text: "wait"}); !isError(ErrNoAnswer)(err) {
		t.Fatalf("message that the peer does not answer ended as %v", err)
	}
	if a.Stats().SuspectConnections.Load() != 0 {
		t.Fatal("the connection is suspect already: nothing is tested")
	}
	ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := Call[note](ctx, a, b, note{Text: "found"}); err != nil {
		t.Fatalf("message beside the silent connection: %v", err)
	}
}

// TestLongHandler has a handler take longer than a silent connection is left
// alone: the connection must not be taken for silent.
func TestLongHandler(t *testing.T) {
	f := newFleet(t, "a", "b")
	a, _ := f.node("a", nil)
	_, b := f.node("b", echoMux())
	ctx, cancel := context.WithTimeout(context.Background(), IdleTimeout+time.Second)
	defer cancel()
	if _, err := Call[note](ctx, a, b, note{Text: "wait"}); !isError(ErrNoAnswer)(err) {
		t.Fatalf("ended as %v", err)
	}
	if a.Stats().SuspectConnections.Load() != 0 || a.Stats().Dials.Load() != 1 {
		t.Fatalf("%d suspects, %d dials", a.Stats().SuspectConnections.Load(), a.Stats().Dials.Load())
	}
}

// TestKeyRotation replaces the authority and all keys under running nodes.
// Present connections go on; new ones use the new keys and refuse the old.
func TestKeyRotation(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	a, _ := f.node("a", nil)
	old, _ := f.node("c", nil)
	oldPair := old.opts.Keys.Credentials(time.Now())
	_, b := f.node("b", echoMux())
	next := newFleet(t, "a", "b")
	for _, name := range []string{"a", "b"} {
		copyFile(t, keys.CertFile(next.dir, name), keys.CertFile(f.dir, name))
		copyFile(t, keys.KeyFile(next.dir, name), keys.KeyFile(f.dir, name))
	}
	copyFile(t, next.dir+"/"+keys.AuthorityCert, f.dir+"/"+keys.AuthorityCert)
	time.Sleep(keys.CheckInterval)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := Call[note](ctx, a, b, note{Text: "x"}); err != nil {
		t.Fatalf("after the rotation: %v", err)
	}
	// c has kept its old certificate, but trusts the new authority.
	old.opts.Keys = rotated(t, f, "c")
	if got := old.opts.Keys.Credentials(time.Now()); !got.Cert.Leaf.Equal(oldPair.Cert.Leaf) {
		t.Fatal("c has another certificate")
	}
	if answer, err := Call[note](ctx, old, b, note{Text: "x"}); err == nil {
		t.Fatalf("a certificate of the old authority was answered %v", answer)
	}
}

func rotated(t *testing.T, f *fleet, name string) *keys.Source {
	t.Helper()
	source, err := keys.NewSource(f.files(name))
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// FuzzEnvelope checks that no bytes make the decoder or a handler panic, and
// that what is answered can be read.
func FuzzEnvelope(f *testing.F) {
	c, err := newCodec()
	if err != nil {
		f.Fatal(err)
	}
	mux := echoMux()
	body, _ := c.encode(note{Text: "x", At: time.Unix(0, 1)})
	seed, _ := c.encode(envelope{Kind: "note", Deadline: time.Unix(1, 0), Body: body})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := decode[envelope](c, data)
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		answer, err := c.encode(mux.dispatch(ctx, c, Identity{Name: "a"}, e))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode[reply](c, answer); err != nil {
			t.Fatal(err)
		}
	})
}
