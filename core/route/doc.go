// Package route chooses where a request runs.
//
// The model: a target's slots are divided among the seats of its failure
// domain, so that entry VMs never add up to more than it has. A Table knows the
// targets of one service that this entry VM has slots of. It picks the least
// loaded one that is healthy, and the one unused for longest among equals.
//
// A target that fails several requests in a row is ejected for a time that
// doubles with each ejection, then probed with one idempotent request at a
// time. Failures count as load until then, so that a target which fails fast
// attracts no work. A slot whose request may still run stays taken until that
// request's window has passed.
//
// Decisions take the instant as an argument; nothing here has a clock, a socket
// or a goroutine. A Table is not safe for concurrent use: its owner locks it.
package route
