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

// health says whether the balancer should send requests to this VM.
type health struct {
	policy  *policy.ActiveVersion
	view    func() *roster.View
	leaving atomic.Bool
}

// faults lists what keeps the VM from being ready at now.
func (h *health) faults(now time.Time) []string {
	var faults []string
	if h.leaving.Load() {
		faults = append(faults, "leaving: this VM is shutting down")
	}
	if h.policy.Current() == nil {
		faults = append(faults, "no-policy: no policy version is in force here yet")
	}
	view := h.view()
	if _, usable := view.OwnSeat(now); usable {
		return faults
	}
	switch {
	case view.Seat < 0:
		faults = append(faults, "no-seat: this VM has no seat in its failure domain, or has not read it yet")
	case now.Before(view.SeatUsableAt):
		faults = append(faults, fmt.Sprintf("seat-not-usable: requests of an earlier instance may run until %s",
			view.SeatUsableAt.Format(time.RFC3339Nano)))
	default:
		faults = append(faults, "seat-lapsed: this VM was paused and has to read its seat again")
	}
	return faults
}

// live answers as long as the process serves at all.
func (h *health) live(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "live\n")
}

// ready answers 200 where the VM takes requests, else 503 with the reasons.
func (h *health) ready(w http.ResponseWriter, _ *http.Request) {
	faults := h.faults(time.Now())
	if len(faults) == 0 {
		writeText(w, http.StatusOK, "ready\n")
		return
	}
	writeText(w, http.StatusServiceUnavailable, strings.Join(faults, "\n")+"\n")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// The client has gone where this fails, and needs no answer.
	_, _ = w.Write([]byte(text))
}
