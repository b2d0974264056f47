package cell

import (
	"net/netip"
	"time"

	"tanagerstack.org/core/intake"
	"tanagerstack.org/core/jobs"
)

// The paths of the messages between VMs. Bodies are CBOR.
const (
	pathHello     = "/peer/hello"
	pathStatus    = "/peer/status"
	pathAdvice    = "/peer/ask"
	pathRowUpdate = "/peer/news"
	pathStore     = "/peer/store"
	pathTerm      = "/peer/term"
	// pathRelay opens a link, which carries frames instead of HTTP.
	pathRelay = "/peer/relay"
)

// hello is a VM's heartbeat to the leader.
type hello struct {
	Name    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	// Epoch is the latest epoch that the VM knows.
	Epoch int64 `cbor:"3,keyasint"`
	// Zone is the VM's failure domain, Processors the number of processors it has, which may be
	// a fraction.
	Zone       string  `cbor:"4,keyasint"`
	Processors float64 `cbor:"5,keyasint"`
}

// helloReply is the answer to a hello. Pending is the number of pending jobs by queue, nil
// until the leader has loaded the stored jobs.
type helloReply struct {
	Leading bool           `cbor:"1,keyasint"`
	Epoch   int64          `cbor:"2,keyasint"`
	Pending map[string]int `cbor:"3,keyasint"`
	// Instance identifies the process that answers.
	Instance string `cbor:"4,keyasint"`
	// Config tells how recent the leader's configuration is, nil in a cell without organizations.
	Config *configReport `cbor:"5,keyasint,omitempty"`
	// Load is the leader's load, nil while it loads the stored jobs or if no VM refuses jobs.
	Load *intake.Snapshot `cbor:"8,keyasint,omitempty"`
}

// termRequest asks a VM whether it has taken over from a leader, or knows who has.
type termRequest struct {
	Epoch    int64  `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
}

// termReply is the answer to a termRequest. Epoch is the latest epoch that the VM knows.
type termReply struct {
	// Confirmed is set if the leader is the last one that the VM knows, and the VM has not taken over.
	Confirmed bool  `cbor:"1,keyasint"`
	Epoch     int64 `cbor:"2,keyasint"`
}

// rowUpdate notifies the leader of a row of the jobs table that was just stored.
type rowUpdate struct {
	Row storedRow `cbor:"1,keyasint"`
}

type storedRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
}

type rowUpdateReply struct{}

// statusRequest asks the leader for the state of a job.
type statusRequest struct {
	Job jobs.ID `cbor:"1,keyasint"`
}

// statusReply is the answer to a statusRequest. Known is false for a job unknown to the leader.
type statusReply struct {
	Leading bool       `cbor:"1,keyasint"`
	Known   bool       `cbor:"2,keyasint"`
	State   jobs.State `cbor:"3,keyasint"`
	// Organization and Queue tell who may see and cancel the job.
	Organization string `cbor:"4,keyasint,omitempty"`
	Queue        string `cbor:"5,keyasint,omitempty"`
}

// adviceRequest asks a VM to send an advice request to the adviser.
type adviceRequest struct {
	Step    jobs.StepID   `cbor:"1,keyasint"`
	Workers []string      `cbor:"2,keyasint"`
	Timeout time.Duration `cbor:"3,keyasint"`
}

type adviceReply struct {
	Advice     Advice `cbor:"1,keyasint"`
	Overloaded bool   `cbor:"2,keyasint"`
	Error      string `cbor:"3,keyasint"`
}
