package conf

import (
	"net/netip"
	"time"

	"github.com/spf13/pflag"

	"tanagerstack.org/core/peer"
)

// The defaults and limits of settings.
const (
	DefaultClockSkew = 200 * time.Millisecond
	maxClockSkew     = 10 * time.Second
	DefaultSeats     = 4
	maxSeats         = 64
	DefaultDrain     = 30 * time.Second
	maxDrain         = 10 * time.Minute
	maxVerbosity     = 9
	maxMemoryMB      = 1 << 24
	maxMaxFDs        = 1 << 24
)

// Settings are the startup settings of an entry VM.
type Settings struct {
	// Name is the name of the VM; its certificate must be valid for it.
	Name string
	// Domain is the failure domain of the VM, and Region the region of that domain.
	Domain string
	Region string

	// CallersAddress, OperatorsAddress and DebugAddress are the addresses of the HTTP listeners,
	// PeersAddress that of the QUIC listener for other entry VMs.
	CallersAddress   netip.AddrPort
	OperatorsAddress netip.AddrPort
	DebugAddress     netip.AddrPort
	PeersAddress     netip.AddrPort

	// TablesAddress, ObjectsAddress and MembersAddress are the addresses of the platform's HTTP
	// services: tables, object store and membership list.
	TablesAddress  netip.AddrPort
	ObjectsAddress netip.AddrPort
	MembersAddress netip.AddrPort

	// Seeds are entry VMs to contact before the membership list is known.
	Seeds []peer.Address

	// CAFile, CertFile and KeyFile are the PEM files for TLS between entry VMs.
	CAFile   string
	CertFile string
	KeyFile  string

	// OperatorTokens maps the name of an operator to the SHA-256 hash of the operator's token, in
	// lower-case hexadecimal.
	OperatorTokens map[string]string

	// ClockSkew is the maximum difference between the clocks of two VMs of the fleet.
	ClockSkew time.Duration
	// SeatsPerDomain is the number of seats for entry VMs in each failure domain. It must be the
	// same on all VMs.
	SeatsPerDomain int
	// DrainTimeout is how long a graceful shutdown waits for requests in flight.
	DrainTimeout time.Duration
	// MemoryMB is the memory that the process may use, in units of 1,000,000 bytes, and MaxFDs the
	// number of its file descriptors. Zero means what the machine gives it.
	MemoryMB int
	MaxFDs   int
	// Verbosity is the log level, from 0 to 9; higher levels log more.
	Verbosity int
}

// Bind adds a flag for each setting. The flags accept any text; Load checks it.
func Bind(flags *pflag.FlagSet) {
	for _, f := range fields() {
		flags.String(f.name, f.defaultValue, f.usage+" ["+variableName(f.name)+"]")
	}
}

// field describes one setting and how to parse it.
type field struct {
	name         string
	defaultValue string
	usage        string
	// accepted describes the accepted values.
	accepted string
	// optional is true if the setting may be empty.
	optional bool
	// set parses text into s and reports whether it is valid.
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
		addressField("callers-address", "listen address for callers", func(s *Settings) *netip.AddrPort { return &s.CallersAddress }),
		addressField("operators-address", "listen address for operators", func(s *Settings) *netip.AddrPort { return &s.OperatorsAddress }),
		addressField("debug-address", "listen address for /livez, /readyz and /debug/vars", func(s *Settings) *netip.AddrPort { return &s.DebugAddress }),
		addressField("peers-address", "listen address for other entry VMs (UDP)", func(s *Settings) *netip.AddrPort { return &s.PeersAddress }),
		addressField("tables-address", "address of the platform's table service", func(s *Settings) *netip.AddrPort { return &s.TablesAddress }),
		addressField("objects-address", "address of the platform's object store", func(s *Settings) *netip.AddrPort { return &s.ObjectsAddress }),
		addressField("members-address", "address of the platform's membership list", func(s *Settings) *netip.AddrPort { return &s.MembersAddress }),
		{
			name:     "seeds",
			usage:    "entry VMs to contact before the membership list is known",
			accepted: "NAME=IP:PORT pairs, separated by commas",
			optional: true,
			set:      setSeeds,
		},
	}
}

func keyFields() []field {
	return []field{
		fileField("ca-file", "certificates of the authorities that sign the certificates of entry VMs (PEM)", func(s *Settings) *string { return &s.CAFile }),
		fileField("cert-file", "certificate of this VM (PEM), as created by tanager keys", func(s *Settings) *string { return &s.CertFile }),
		fileField("key-file", "private key of this VM (PEM)", func(s *Settings) *string { return &s.KeyFile }),
		{
			name:     "operator-tokens",
			usage:    "names of operators and SHA-256 hashes of their tokens",
			accepted: "NAME=HEX pairs with 64 hexadecimal digits each, separated by commas",
			optional: true,
			set:      setOperatorTokens,
		},
	}
}

func limitFields() []field {
	return []field{
		durationField("clock-skew", DefaultClockSkew, 0, maxClockSkew, "maximum difference between the clocks of two VMs",
			func(s *Settings) *time.Duration { return &s.ClockSkew }),
		countField("seats", DefaultSeats, 1, maxSeats, "number of seats for entry VMs in each failure domain; must be the same on all VMs",
			func(s *Settings) *int { return &s.SeatsPerDomain }),
		durationField("drain", DefaultDrain, time.Second, maxDrain, "how long a graceful shutdown waits for requests in flight",
			func(s *Settings) *time.Duration { return &s.DrainTimeout }),
		countField("memory-mb", 0, 0, maxMemoryMB, "memory that the process may use, in units of 1,000,000 bytes; 0 means the memory of the machine",
			func(s *Settings) *int { return &s.MemoryMB }),
		countField("max-fds", 0, 0, maxMaxFDs, "number of file descriptors that the process may open; 0 means the limit of the process",
			func(s *Settings) *int { return &s.MaxFDs }),
		countField("verbosity", 0, 0, maxVerbosity, "log level; higher levels log more",
			func(s *Settings) *int { return &s.Verbosity }),
	}
}
