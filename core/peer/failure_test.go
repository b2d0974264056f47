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

// forwarder forwards UDP packets between nodes. It simulates network equipment that loses its
// state: after silence, it drops the packets of all existing paths and forwards those of new
// ones.
type forwarder struct {
	t      *testing.T
	front  *net.UDPConn
	target *net.UDPAddr
	// silenced is the last generation of paths whose packets are dropped.
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

// path is one pair of ports, and the client that uses it.
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

// silence makes the forwarder drop all packets of the existing paths.
func (f *forwarder) silence() { f.silenced.Store(f.generation.Add(1) - 1) }

// TestSilentConnection checks that messages are answered on a new connection after the packets of
// the old one are dropped, before the idle timeout ends it. It covers a connection that has to
// answer a ping first because of PingAfter, and one that an unanswered message made suspect.
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
		t.Fatalf("message on the silent connection returned error %v", err)
	}
	time.Sleep(PingAfter)
	// The old connection now has to answer a ping, and does not.
	if err := call("found", 5*time.Second); err != nil {
		t.Fatalf("message after the connection went silent: %v", err)
	}
	if dials := a.Stats().Dials.Load(); dials < 2 {
		t.Fatalf("%d dials: the answer arrived on the silent connection", dials)
	}
	fwd.silence()
	if err := call("lost", 2*SuspectAfter); !isError(ErrNoAnswer)(err) {
		t.Fatalf("message on the silent connection returned error %v", err)
	}
	// The lost message has made the connection suspect, so it is replaced without a ping.
	if err := call("found", 5*time.Second); err != nil || a.Stats().SuspectConnections.Load() < 2 {
		t.Fatalf("message after the connection became suspect: error %v, %d suspect connections", err, a.Stats().SuspectConnections.Load())
	}
}

// TestSilentAfterAcknowledgment checks that a connection whose packets are dropped after the peer
// has acknowledged a message, but before it answers, is not used for the next message. The
// acknowledgment does not prove that the connection works.
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
		t.Fatalf("message that the peer does not answer returned error %v", err)
	}
	if a.Stats().SuspectConnections.Load() != 0 {
		t.Fatal("connection is already suspect: nothing is tested")
	}
	ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := Call[note](ctx, a, b, note{Text: "found"}); err != nil {
		t.Fatalf("message after the connection went silent: %v", err)
	}
}

// TestSuspectConnectionServesItsPeer guards against closing a connection that looks dead to one end while
// the other end waits for answers on it, which would lose them.
func TestSuspectConnectionServesItsPeer(t *testing.T) {
	f := newFleet(t, "a", "b")
	mux := NewMux()
	arrived, finish := make(chan struct{}), make(chan struct{})
	Handle(mux, func(_ context.Context, _ Identity, message note) (note, error) {
		close(arrived)
		<-finish
		return message, nil
	})
	a, addressOfA := f.node("a", mux)
	b, addressOfB := f.node("b", echoMux())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answered := make(chan error, 1)
	caller := &caller{node: b, to: addressOfA, message: note{Text: "slow"}, answered: answered}
	go caller.run(ctx)
	<-arrived
	l, err := a.linkTo(addressOfB)
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.connect(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if dials := a.Stats().Dials.Load(); dials != 0 {
		t.Fatalf("%d dials: the ends use two connections", dials)
	}
	c.markSuspect()
	c.release()
	if _, err := Call[note](ctx, a, addressOfB, note{Text: "x"}); err != nil {
		t.Errorf("call after the connection became suspect: %v", err)
	}
	close(finish)
	if err := <-answered; err != nil {
		t.Errorf("the peer's call on the suspect connection: %v", err)
	}
}

// caller makes one call and reports its error.
type caller struct {
	node     *Node
	to       Address
	message  note
	answered chan<- error
}

func (c *caller) run(ctx context.Context) {
	_, err := Call[note](ctx, c.node, c.to, c.message)
	c.answered <- err
}

// TestLongHandler checks that a connection does not become suspect while the handler of a message
// takes longer than IdleTimeout.
func TestLongHandler(t *testing.T) {
	f := newFleet(t, "a", "b")
	a, _ := f.node("a", nil)
	_, b := f.node("b", echoMux())
	ctx, cancel := context.WithTimeout(context.Background(), IdleTimeout+time.Second)
	defer cancel()
	if _, err := Call[note](ctx, a, b, note{Text: "wait"}); !isError(ErrNoAnswer)(err) {
		t.Fatalf("call returned error %v, want ErrNoAnswer", err)
	}
	if a.Stats().SuspectConnections.Load() != 0 || a.Stats().Dials.Load() != 1 {
		t.Fatalf("%d suspect connections and %d dials, want 0 and 1", a.Stats().SuspectConnections.Load(), a.Stats().Dials.Load())
	}
}

// TestKeyRotation replaces the certificate authority and all keys of running nodes. New
// connections use the new keys, and peers with a certificate of the old authority are rejected.
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
		t.Fatalf("call after the rotation: %v", err)
	}
	// c still has its old certificate, but trusts the new authority.
	old.opts.Keys = rotated(t, f, "c")
	if got := old.opts.Keys.Credentials(time.Now()); !got.Cert.Leaf.Equal(oldPair.Cert.Leaf) {
		t.Fatal("certificate of c has changed")
	}
	if answer, err := Call[note](ctx, old, b, note{Text: "x"}); err == nil {
		t.Fatalf("peer with a certificate of the old authority got answer %v", answer)
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

// FuzzEnvelope checks that no input makes the decoder or a handler panic, and that the answer can
// be decoded.
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
