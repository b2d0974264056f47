package cell

import (
	"net/netip"
	"time"

	"tanagerstack.org/core/jobs"
)

// The paths of the exchanges between VMs. Bodies are CBOR.
const (
	pathHello  = "/peer/hello"
	pathStatus = "/peer/status"
	pathAsk    = "/peer/ask"
	pathNews   = "/peer/news"
	pathStore  = "/peer/store"
	// pathRelay leads to a link, which speaks frames in place of HTTP.
	pathRelay = "/peer/relay"
)

// hello is what a VM reports to the leader.
type hello struct {
	Name    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	// Epoch is the latest leadership that the VM has heard of.
	Epoch int64 `cbor:"3,keyasint"`
	// Zone is the VM's failure domain, Processors how much of a processor it has.
	Zone       string  `cbor:"4,keyasint"`
	Processors float64 `cbor:"5,keyasint"`
}

// helloReply is what the leader answers.
type helloReply struct {
	Leading bool           `cbor:"1,keyasint"`
	Epoch   int64          `cbor:"2,keyasint"`
	Pending map[string]int `cbor:"3,keyasint"`
	// Instance identifies the process that answers.
	Instance string `cbor:"4,keyasint"`
}

// news is a row of the table of jobs that was just stored.
type news struct {
	Row storedRow `cbor:"1,keyasint"`
}

type storedRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
}

type newsReply struct{}

type statusQuestion struct {
	Job jobs.ID `cbor:"1,keyasint"`
}

type statusReply struct {
	Leading bool       `cbor:"1,keyasint"`
	Known   bool       `cbor:"2,keyasint"`
	State   jobs.State `cbor:"3,keyasint"`
}

type adviceQuestion struct {
	Step    jobs.StepID   `cbor:"1,keyasint"`
	Workers []string      `cbor:"2,keyasint"`
	Timeout time.Duration `cbor:"3,keyasint"`
}

type adviceReply struct {
	Answer     Advice `cbor:"1,keyasint"`
	Overloaded bool   `cbor:"2,keyasint"`
	Problem    string `cbor:"3,keyasint"`
}
