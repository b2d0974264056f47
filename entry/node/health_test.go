package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
)

// TestReady checks that a VM is ready only with a policy in force and a seat that it may use now,
// and that it otherwise answers 503 with the reason.
func TestReady(t *testing.T) {
	now := time.Now()
	seated := roster.View{Seat: 0, SeatUsableAt: now.Add(-time.Minute), SeatExpiresAt: now.Add(time.Minute)}
	cases := map[string]struct {
		view     func(v *roster.View)
		noPolicy bool
		leaving  bool
		want     string
	}{
		"ready":      {want: "ready"},
		"no policy":  {noPolicy: true, want: "no-policy"},
		"leaving":    {leaving: true, want: "leaving"},
		"no seat":    {view: func(v *roster.View) { v.Seat = -1 }, want: "no-seat"},
		"was killed": {view: func(v *roster.View) { v.SeatUsableAt = now.Add(time.Minute) }, want: "seat-not-usable"},
		"was paused": {view: func(v *roster.View) { v.SeatExpiresAt = now.Add(-time.Second) }, want: "seat-lapsed"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			view := seated
			if c.view != nil {
				c.view(&view)
			}
			h := &health{policy: &policy.ActiveVersion{}, view: func() *roster.View { return &view }}
			if !c.noPolicy {
				h.policy.SetIfNewer(&policy.Version{Number: 1})
			}
			h.leaving.Store(c.leaving)
			w := httptest.NewRecorder()
			h.serveReady(w, nil)
			if body := w.Body.String(); !strings.HasPrefix(body, c.want) || (w.Code == http.StatusOK) != (name == "ready") {
				t.Fatalf("got %d %q, want %q", w.Code, body, c.want)
			}
		})
	}
}
