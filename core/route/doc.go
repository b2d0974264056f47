// Package route chooses the target of a request, and the entry VMs to which a request
// can be forwarded.
//
// The slots of a target are divided among the seats of its failure domain, so that the
// entry VMs together never use more slots than the target has. A Table holds the
// targets of one service on which this entry VM has slots. It picks the healthy target
// with the lowest load and, among equal loads, the one picked least recently.
//
// A target that fails several requests in a row is ejected for a time that doubles with
// each ejection. It is then on probation: it gets one request at a time, and for some
// time only idempotent ones, until a request succeeds. Failures since the last success
// count as load, so that a target that fails fast does not attract requests. A slot
// whose request may still be running stays in use until the window of that request has
// passed.
//
// Methods that depend on time take the current instant; the package uses no clock, no
// network and no goroutines. A Table is not safe for concurrent use: its user guards it
// by a lock.
package route
