package peer

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"testing"
	"time"

	"tanagerstack.org/core/guard"
	"tanagerstack.org/core/keys"
)

// note is a test message.
type note struct {
	Text string    `cbor:"1,keyasint"`
	At   time.Time `cbor:"2,keyasint"`
}

func (note) Kind() string { return "note" }

// fleet has the keys of a set of nodes in dir.
type fleet struct {
	t   testing.TB
	dir string
}

func newFleet(t testing.TB, names ...string) *fleet {
	t.Helper()
	dir := t.TempDir()
	if err := keys.Issue(dir, names, time.Now()); err != nil {
		t.Fatal(err)
	}
	return &fleet{t: t, dir: dir}
}

func (f *fleet) files(name string) keys.Files {
	return keys.Files{
		CA:   f.dir + "/" + keys.AuthorityCert,
		Cert: keys.CertFile(f.dir, name),
		Key:  keys.KeyFile(f.dir, name),
	}
}

func copyFile(t testing.TB, from, to string) {
	t.Helper()
	data, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) node(name string, mux *Mux) (*Node, Address) {
	f.t.Helper()
	return f.limitedNode(name, mux, nil)
}

func (f *fleet) limitedNode(name string, mux *Mux, port *guard.Port) (*Node, Address) {
	f.t.Helper()
	source, err := keys.NewSource(f.files(name))
	if err != nil {
		f.t.Fatal(err)
	}
	n, err := NewNode(Options{Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: source, Mux: mux, Port: port})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = n.Close(ctx)
	})
	return n, Address{Name: name, Addr: n.Addr()}
}

// echo answers a note with the sender's name and the text. It returns an error for "fail", and for
// "wait" it returns only after its context has ended.
func echo(ctx context.Context, from Identity, message note) (note, error) {
	switch message.Text {
	case "fail":
		return note{}, errors.New("requested failure")
	case "wait":
		// The answer must arrive after the caller's deadline.
		<-ctx.Done()
		time.Sleep(time.Second)
		return note{}, ctx.Err()
	}
	return note{Text: from.Name + ":" + message.Text, At: message.At}, nil
}

func echoMux() *Mux {
	mux := NewMux()
	Handle(mux, echo)
	return mux
}

func TestCall(t *testing.T) {
	f := newFleet(t, "a", "b")
	a, _ := f.node("a", nil)
	_, b := f.node("b", echoMux())
	at := time.Now().Add(time.Hour)
	cases := map[string]struct {
		to      Address
		message Message
		want    string
		check   func(error) bool
	}{
		"answer":       {to: b, message: note{Text: "x", At: at}, want: "a:x"},
		"handler's":    {to: b, message: note{Text: "fail"}, check: remoteCode(CodeFailed)},
		"unknown kind": {to: b, message: unregisteredMessage{}, check: remoteCode(CodeUnknownKind)},
		"wrong name":   {to: Address{Name: "c", Addr: b.Addr}, message: note{}, check: isError(ErrNotSent)},
		"no listener":  {to: Address{Name: "d", Addr: netip.MustParseAddrPort("127.0.0.1:9")}, message: note{}, check: isError(ErrNotSent)},
		"no answer":    {to: b, message: note{Text: "wait"}, check: isError(ErrNoAnswer)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			got, err := Call[note](ctx, a, c.to, c.message)
			if c.check != nil {
				if !c.check(err) {
					t.Fatalf("got %v, error %v", got, err)
				}
				return
			}
			if err != nil || got.Text != c.want || !got.At.Equal(at) {
				t.Fatalf("got %v, error %v", got, err)
			}
		})
	}
}

// unregisteredMessage is a message without a handler.
type unregisteredMessage struct{}

func (unregisteredMessage) Kind() string { return "stray" }

func remoteCode(code string) func(error) bool {
	return func(err error) bool {
		var remote *RemoteError
		return errors.As(err, &remote) && remote.Code == code
	}
}

func isError(target error) func(error) bool {
	return func(err error) bool { return errors.Is(err, target) }
}

// TestStrangerRefused checks that a VM with a certificate of another authority is rejected, both if
// it trusts the authority of its peer and if it does not.
func TestStrangerRefused(t *testing.T) {
	home := newFleet(t, "b")
	_, b := home.node("b", echoMux())
	for name, trusts := range map[string]bool{"trusts": true, "does not trust": false} {
		t.Run(name, func(t *testing.T) {
			away := newFleet(t, "a")
			if trusts {
				copyFile(t, home.dir+"/"+keys.AuthorityCert, away.dir+"/"+keys.AuthorityCert)
			}
			a, _ := away.node("a", nil)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			if answer, err := Call[note](ctx, a, b, note{Text: "x"}); err == nil {
				t.Fatalf("peer with a certificate of another authority got answer %v", answer)
			}
		})
	}
}
