package engine

import "tanagerstack.org/core/ledger"

// fitsIfEmpty returns how many tasks of the step would fit on the worker without its runs, at most
// limit.
func (s *step) fitsIfEmpty(w *worker, limit int) int {
	n := ledger.FitCount(s.demand(), w.Capacity, limit)
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return n
}

// fitsEmptyFleet reports whether the missing tasks of a gang, or one task of another step, would fit if
// all workers were empty that may run them. Workers count that are out of contact, or that the adviser
// was not asked about yet.
func (e *Engine) fitsEmptyFleet(s *step, missing int) bool {
	needed := missing
	if !s.Gang {
		needed = 1
	}
	advised := s.job.Queue.Advice != nil
	for _, w := range e.sortedWorkers {
		switch {
		case !w.listed, w.Leaving, w.Service != s.job.Queue.Service, !w.hasLabel(s.RequiredLabel):
		case advised && s.advice.asked.has(w) && !s.advice.permitted.has(w):
		default:
			if needed -= s.fitsIfEmpty(w, needed); needed <= 0 {
				return true
			}
		}
	}
	return false
}

// noteFit determines whether a waiting step fits at all, and logs when that changes.
func (e *Engine) noteFit(s *step, missing int) {
	unfit := !e.fitsEmptyFleet(s, missing)
	if unfit == s.unfit {
		return
	}
	s.unfit = unfit
	e.log("fit of waiting step changed", "step", s.id, "fits", !unfit, "missing", missing, "gang", s.Gang,
		"demand", s.demand(), "workers", len(e.sortedWorkers), "asked", s.advice.asked.count(), "permitted", len(s.advice.permittedWorkers))
}
