package conf

import (
	"net/netip"
	"time"

	"github.com/spf13/pflag"

	"tanagerstack.org/core/peer"
)

// The defaults and bounds of settings.
const (
	DefaultClockSkew = 200 * time.Millisecond
	maxClockSkew     = 10 * time.Second
	DefaultSeats     = 4
	maxSeats         = 64
	DefaultDrain     = 30 * time.Second
	maxDrain         = 10 * time.Minute
	maxVerbosity     = 9
)

// Settings are all that an entry VM is told at its start.
type Settings struct {
	// Name is the VM's name; its certificate must carry it.
	Name string
	// Domain is the VM's failure domain, Region the region of that.
	Domain string
	Region string

	// Callers, Operators and Debug are where the HTTP listeners are; Peers is
	// where the QUIC listener is.
	CallersAddress   netip.AddrPort
	OperatorsAddress netip.AddrPort
	DebugAddress     netip.AddrPort
	PeersAddress     netip.AddrPort

	// Tables, Objects and Members are the platform's services, over HTTP.
	TablesAddress  netip.AddrPort
	ObjectsAddress netip.AddrPort
	MembersAddress netip.AddrPort

	// Seeds are entry VMs to talk to before the membership list is known.
	Seeds []peer.Address

	// CAFile, CertFile and KeyFile are the keys for the links between entry VMs.
	CAFile   string
	CertFile string
	KeyFile  string

	// OperatorTokens maps an operator's name to the SHA-256 of the token, in hexadecimal.
	OperatorTokens map[string]string

	// ClockSkew is the most that two clocks of the fleet differ by.
	ClockSkew time.Duration
	// Seats is the number of entry VMs that a failure domain has seats for.
	SeatsPerDomain int
	// Drain is the longest that a graceful shutdown waits for requests in flight.
	DrainTimeout time.Duration
	// Verbosity selects how much is logged.
	Verbosity int
}

// Bind adds a flag for each setting. The values that flags get are kept as text
// until Load checks them.
func Bind(flags *pflag.FlagSet) {
	for _, f := range fields() {
		flags.String(f.name, f.defaultValue, f.usage+" ["+variableName(f.name)+"]")
	}
}

// field is one setting: how it is written and where it goes.
type field struct {
	name         string
	defaultValue string
	usage        string
	// accepted says which values are.
	accepted string
	// optional settings may be empty.
	optional bool
	// set parses text into s and reports whether it is accepted.
	set func(s *Settings, text string) bool
}

func fields() []field {
	list := identityFields()
	list = append(list, addressFields()...)
	list = append(list, keyFields()...)
	return append(list, limitFields()...)
}

func identityFields() []field {
	return []field{
		nameField("name", "name of this VM, as in its certificate", func(s *Settings) *string { return &s.Name }),
		nameField("domain", "failure domain of this VM", func(s *Settings) *string { return &s.Domain }),
		nameField("region", "region of the failure domain", func(s *Settings) *string { return &s.Region }),
	}
}

func addressFields() []field {
	return []field{
		addressField("callers-address", "where to listen for callers", func(s *Settings) *netip.AddrPort { return &s.CallersAddress }),
		addressField("operators-address", "where to listen for operators", func(s *Settings) *netip.AddrPort { return &s.OperatorsAddress }),
		addressField("debug-address", "where to listen for /livez, /readyz and /debug/vars", func(s *Settings) *netip.AddrPort { return &s.DebugAddress }),
		addressField("peers-address", "where to listen for other entry VMs (UDP)", func(s *Settings) *netip.AddrPort { return &s.PeersAddress }),
		addressField("tables-address", "the platform's table service", func(s *Settings) *netip.AddrPort { return &s.TablesAddress }),
		addressField("objects-address", "the platform's object store", func(s *Settings) *netip.AddrPort { return &s.ObjectsAddress }),
		addressField("members-address", "the platform's membership list", func(s *Settings) *netip.AddrPort { return &s.MembersAddress }),
		{
			name:     "seeds",
			usage:    "entry VMs to talk to before the membership list is known",
			accepted: "NAME=IP:PORT pairs, separated by commas",
			optional: true,
			set:      setSeeds,
		},
	}
}

func keyFields() []field {
	return []field{
		fileField("ca-file", "certificates of the authorities that sign entry VMs' certificates (PEM)", func(s *Settings) *string { return &s.CAFile }),
		fileField("cert-file", "this VM's certificate (PEM); tanager keys makes one", func(s *Settings) *string { return &s.CertFile }),
		fileField("key-file", "this VM's private key (PEM)", func(s *Settings) *string { return &s.KeyFile }),
		{
			name:     "operator-tokens",
			usage:    "operators and the SHA-256 of their tokens",
			accepted: "NAME=HEX pairs with 64 hexadecimal digits each, separated by commas",
			optional: true,
			set:      setOperatorTokens,
		},
	}
}

func limitFields() []field {
	return []field{
		durationField("clock-skew", DefaultClockSkew, 0, maxClockSkew, "the most that two clocks of the fleet differ by",
			func(s *Settings) *time.Duration { return &s.ClockSkew }),
		countField("seats", DefaultSeats, 1, maxSeats, "how many entry VMs a failure domain has seats for; the same on all VMs",
			func(s *Settings) *int { return &s.SeatsPerDomain }),
		durationField("drain", DefaultDrain, time.Second, maxDrain, "the longest that a stop waits for requests in flight",
			func(s *Settings) *time.Duration { return &s.DrainTimeout }),
		countField("verbosity", 0, 0, maxVerbosity, "how much to log",
			func(s *Settings) *int { return &s.Verbosity }),
	}
}
