package conf

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"tanagerstack.org/core/peer"
)

// tokenHashBytes is the size of a SHA-256 hash.
const tokenHashBytes = 32

// namePattern matches the names of VMs, failure domains, regions and operators.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func nameField(name, usage string, target func(*Settings) *string) field {
	return field{
		name:     name,
		usage:    usage,
		accepted: "1 to 63 characters from a-z, 0-9, '-' and '.', starting with a letter or digit",
		set: func(s *Settings, text string) bool {
			*target(s) = text
			return namePattern.MatchString(text)
		},
	}
}

func addressField(name, usage string, target func(*Settings) *netip.AddrPort) field {
	return field{
		name:     name,
		usage:    usage,
		accepted: "IP:PORT with a port from 1 to 65535",
		set: func(s *Settings, text string) bool {
			addr, ok := parseAddress(text)
			*target(s) = addr
			return ok
		},
	}
}

func parseAddress(text string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(text)
	return addr, err == nil && addr.Port() != 0
}

func fileField(name, usage string, target func(*Settings) *string) field {
	return field{
		name:     name,
		usage:    usage,
		accepted: "a file path",
		set: func(s *Settings, text string) bool {
			*target(s) = text
			return text != ""
		},
	}
}

func durationField(name string, defaultValue, minimum, maximum time.Duration, usage string, target func(*Settings) *time.Duration) field {
	return field{
		name:         name,
		defaultValue: defaultValue.String(),
		usage:        usage,
		accepted:     fmt.Sprintf("a duration from %s to %s, such as 250ms", minimum, maximum),
		set: func(s *Settings, text string) bool {
			value, err := time.ParseDuration(text)
			*target(s) = value
			return err == nil && value >= minimum && value <= maximum
		},
	}
}

func countField(name string, defaultValue, minimum, maximum int, usage string, target func(*Settings) *int) field {
	return field{
		name:         name,
		defaultValue: strconv.Itoa(defaultValue),
		usage:        usage,
		accepted:     fmt.Sprintf("an integer from %d to %d", minimum, maximum),
		set: func(s *Settings, text string) bool {
			value, err := strconv.Atoi(text)
			*target(s) = value
			return err == nil && value >= minimum && value <= maximum
		},
	}
}

func setSeeds(s *Settings, text string) bool {
	pairs, ok := parsePairs(text)
	if !ok {
		return false
	}
	s.Seeds = nil
	for _, p := range pairs {
		addr, ok := parseAddress(p.value)
		if !ok {
			return false
		}
		s.Seeds = append(s.Seeds, peer.Address{Name: p.name, Addr: addr})
	}
	return true
}

func setOperatorTokens(s *Settings, text string) bool {
	pairs, ok := parsePairs(text)
	if !ok {
		return false
	}
	s.OperatorTokens = make(map[string]string, len(pairs))
	for _, p := range pairs {
		hash, err := hex.DecodeString(p.value)
		if err != nil || len(hash) != tokenHashBytes {
			return false
		}
		s.OperatorTokens[p.name] = strings.ToLower(p.value)
	}
	return true
}

// pair is one NAME=VALUE item of a list.
type pair struct{ name, value string }

// parsePairs parses a comma-separated list of NAME=VALUE items. It reports false if an item or
// name is invalid or a name occurs twice.
func parsePairs(text string) ([]pair, bool) {
	if text == "" {
		return nil, true
	}
	seen := make(map[string]bool)
	var pairs []pair
	for item := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(item), "=")
		if !found || !namePattern.MatchString(name) || seen[name] {
			return nil, false
		}
		seen[name] = true
		pairs = append(pairs, pair{name: name, value: value})
	}
	return pairs, true
}
