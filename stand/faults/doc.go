// Package faults injects faults into fake services.
//
// An Injector holds the active fault of a group of fake VMs; there is at most one.
// Wrap adds fault injection to the handler of a VM: the fault applies to each
// request with the probability of the fault, and other requests pass unchanged.
// The kinds are those of core/api/fault.yaml:
//
//   - down: the listener is closed, so connections are refused. With a
//     probability below 1, connections of single requests are reset instead.
//   - slow: the request is delayed, then run.
//   - lost-answer: the request is run, then its connection is reset.
//   - silent: the request is read, but neither run nor answered.
//   - short-body: the request is run; the answer is cut off within its body.
//   - swapped-answer: the request is run and gets the answer of an earlier one.
//   - late-answer: the request is run, and answered after the delay.
//   - fail-all: targets run each request but answer 500; workers fail their tasks.
//   - leaving: the VM is leaving, which each fake implements itself.
//   - frozen: the request is held until the fault changes, then run.
//
// Faults that affect only the answer (lost-answer, short-body, swapped-answer and
// late-answer) apply only to requests that change state. Probes and reads are
// answered as usual.
//
// Control serves the fault API, through which tests set faults and read the
// record of a fake.
package faults
