package faults_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	api "tanagerstack.org/core/api/fault"
	"tanagerstack.org/stand/faults"
	"tanagerstack.org/stand/host"
)

// TestDownRefusesConnections checks that a VM with fault down refuses connections while other VMs
// keep serving, and that it serves on the same address once the fault is cleared.
func TestDownRefusesConnections(t *testing.T) {
	injector, group := faults.NewInjector(), &host.Group{}
	injector.AddObserver(&faults.DownObserver{Group: group})
	urls := make(map[string]string)
	for _, name := range []string{"a", "b"} {
		answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) })
		server, err := group.Listen(name, netip.MustParseAddrPort("127.0.0.1:0"), injector.Wrap(name, answer))
		if err != nil {
			t.Fatal(err)
		}
		urls[name] = "http://" + server.Address().String()
	}
	t.Cleanup(func() { group.Suspend(func(string) bool { return true }) })
	serves := func(name string) bool {
		response, err := http.Get(urls[name])
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return true
	}
	steps := []struct {
		fault api.Fault
		a, b  bool
	}{
		{api.Fault{Kind: api.FaultKindNone}, true, true},
		{api.Fault{Kind: api.FaultKindDown, Member: api.NewOptString("a")}, false, true},
		{api.Fault{Kind: api.FaultKindDown}, false, false},
		{api.Fault{Kind: api.FaultKindNone}, true, true},
	}
	for number, step := range steps {
		injector.Set(step.fault, time.Now())
		if a, b := serves("a"), serves("b"); a != step.a || b != step.b {
			t.Errorf("step %d: a serves = %v, b serves = %v; want %v, %v", number, a, b, step.a, step.b)
		}
	}
}
