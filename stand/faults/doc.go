// Package faults makes stand-ins fail on demand.
//
// The model: a Switch holds the one fault in force in a process. Wrap puts a
// filter in front of a VM's handler; the filter strikes each request with the
// fault's probability and lets the others through. The kinds are those of
// core/api/fault.yaml:
//
//   - down: the listener is closed, so connections are refused; with a
//     probability below 1 single requests are reset instead.
//   - slow: a request is held for the delay, then run.
//   - lost-answer: a request is run, then its connection is reset.
//   - silent: a request is read, not run, and never answered.
//   - short-body: the answer ends in the middle of its body.
//   - swapped-answer: the answer is that of an earlier request.
//   - late-answer: a request is run, and answered after the delay.
//   - fail-all: a request is answered with 500; workers fail their tasks instead.
//   - leaving: the VM says that it is leaving; stand-ins act on it themselves.
//   - frozen: a request is held until the fault changes, then run.
//
// The faults that spoil an answer (lost-answer, short-body, swapped-answer and
// late-answer) strike only requests that change something: probes and reads are
// answered as usual.
//
// Control serves the fault API, through which tests set faults and read what the
// stand-in recorded.
package faults
