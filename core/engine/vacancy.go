package engine

// Isolated tasks start only on workers without other work. While there is none for them, tickets would
// expire before they can use them.

// awaitsIsolation reports whether all waiting tasks of a step are isolated.
func (s *step) awaitsIsolation() bool {
	if s.Gang {
		return s.tasks[0].isolated()
	}
	for _, t := range s.tasks {
		if !t.done && t.run == nil && !t.held() && !t.isolated() {
			return false
		}
	}
	return true
}

// mayHostIsolated reports whether a worker may now get a waiting task of a step of which all are
// isolated, apart from capacity and advice.
func (e *Engine) mayHostIsolated(p *pass, s *step, w *worker) bool {
	switch {
	case p.dedicatedToOther(w, s) || !s.mayRunOn(w) || !w.vacantFor(p.now, s):
		return false
	case s.Gang:
		return true
	case w.keptFor != nil:
		return w.keptFor.run == nil
	default:
		return e.mayIsolate(p)
	}
}

// awaitsVacancy reports whether all waiting tasks of a step are isolated, and the adviser has permitted
// enough workers for them of which too few are vacant. Workers can be kept for them only once they are
// known to be permitted.
func (e *Engine) awaitsVacancy(p *pass, s *step, missing int) bool {
	needed := missing
	if !s.Gang {
		needed = 1
	}
	if !s.awaitsIsolation() || !s.permittedSuffice(p, needed) {
		return false
	}
	for _, w := range p.vacantWorkers() {
		if s.advice.asked.has(w) && !s.advice.permitted.has(w) || !e.mayHostIsolated(p, s, w) {
			continue
		}
		if needed -= s.fits(w, needed); needed <= 0 {
			return false
		}
	}
	return true
}

// vacantWorkers returns the open workers that had no other work than services past their probation when
// it was first called in the pass: few of a busy fleet.
func (p *pass) vacantWorkers() []*worker {
	if !p.vacantKnown {
		p.vacantKnown = true
		for _, w := range p.open {
			if w.vacantFor(p.now, nil) {
				p.vacant = append(p.vacant, w)
			}
		}
	}
	return p.vacant
}

// permittedSuffice reports whether tasks of the step would fit on the open workers that the adviser has
// permitted, if these were empty.
func (s *step) permittedSuffice(p *pass, needed int) bool {
	for i := range s.advice.permittedWorkers {
		w := s.advice.permittedWorkers[i].worker
		if !p.isOpen(w) {
			continue
		}
		if needed -= s.fitsIfEmpty(w, needed); needed <= 0 {
			return true
		}
	}
	return false
}
