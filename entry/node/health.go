package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"tanagerstack.org/core/policy"
	"tanagerstack.org/core/roster"
)

// health serves the probes by which the load balancer decides whether to send requests to this VM.
type health struct {
	policy  *policy.ActiveVersion
	view    func() *roster.View
	leaving atomic.Bool
}

// unreadyReasons returns the reasons why the VM is not ready at now; nil if it is ready.
func (h *health) unreadyReasons(now time.Time) []string {
	var reasons []string
	if h.leaving.Load() {
		reasons = append(reasons, "leaving: this VM is shutting down")
	}
	if h.policy.Current() == nil {
		reasons = append(reasons, "no-policy: no policy version is in force here yet")
	}
	view := h.view()
	if _, usable := view.OwnSeat(now); usable {
		return reasons
	}
	switch {
	case view.Seat < 0:
		reasons = append(reasons, "no-seat: this VM has no seat in its failure domain, or has not read it yet")
	case now.Before(view.SeatUsableAt):
		reasons = append(reasons, fmt.Sprintf("seat-not-usable: requests of an earlier instance may run until %s",
			view.SeatUsableAt.Format(time.RFC3339Nano)))
	default:
		reasons = append(reasons, "seat-lapsed: this VM was paused and has to read its seat again")
	}
	return reasons
}

// serveLive always answers 200: a process that serves HTTP is live.
func (h *health) serveLive(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "live\n")
}

// serveReady answers 200 if the VM accepts requests, otherwise 503 with one reason on each line.
func (h *health) serveReady(w http.ResponseWriter, _ *http.Request) {
	reasons := h.unreadyReasons(time.Now())
	if len(reasons) == 0 {
		writeText(w, http.StatusOK, "ready\n")
		return
	}
	writeText(w, http.StatusServiceUnavailable, strings.Join(reasons, "\n")+"\n")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected, so the error is ignored.
	_, _ = w.Write([]byte(text))
}
