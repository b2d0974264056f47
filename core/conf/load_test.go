package conf

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/spf13/pflag"
)

// validEnvironment has variables that give valid settings.
var validEnvironment = []string{
	"TANAGER_NAME=zurich-a-1", "TANAGER_DOMAIN=zurich-a", "TANAGER_REGION=zurich",
	"TANAGER_CALLERS_ADDRESS=127.0.0.1:1", "TANAGER_OPERATORS_ADDRESS=127.0.0.1:2",
	"TANAGER_DEBUG_ADDRESS=127.0.0.1:3", "TANAGER_PEERS_ADDRESS=127.0.0.1:4",
	"TANAGER_TABLES_ADDRESS=127.0.0.1:5", "TANAGER_OBJECTS_ADDRESS=127.0.0.1:6", "TANAGER_MEMBERS_ADDRESS=127.0.0.1:7",
	"TANAGER_CA_FILE=ca", "TANAGER_CERT_FILE=cert", "TANAGER_KEY_FILE=key",
	"TANAGER_SEEDS=a=127.0.0.1:8,b=[::1]:9", "PATH=/bin",
}

func load(environment []string, arguments ...string) (Settings, error) {
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	Bind(flags)
	if err := flags.Parse(arguments); err != nil {
		return Settings{}, err
	}
	return Load(flags, environment)
}

// TestLoad checks that a flag, variables and defaults are combined.
func TestLoad(t *testing.T) {
	s, err := load(validEnvironment, "--clock-skew", "50ms")
	if err != nil {
		t.Fatal(err)
	}
	if s.ClockSkew != 50*time.Millisecond || s.SeatsPerDomain != DefaultSeats || len(s.Seeds) != 2 || s.Seeds[1].Addr.Port() != 9 {
		t.Fatalf("settings are %+v", s)
	}
}

// TestLoadFaults checks that each invalid setting is reported, by itself and together with all
// others, and that errors do not contain secrets.
func TestLoadFaults(t *testing.T) {
	cases := map[string]string{
		"TANAGER_NAME=Zürich":                "TANAGER_NAME",
		"TANAGER_SEATS=0":                    "from 1 to 64",
		"TANAGER_CLOCK_SKEW=-1s":             "from 0s to 10s",
		"TANAGER_CALLERS_ADDRESS=host:1":     "IP:PORT",
		"TANAGER_DEBUG_ADDRESS=127.0.0.1:2":  "already used by --operators-address",
		"TANAGER_SEEDS=a=127.0.0.1:0":        "NAME=IP:PORT",
		"TANAGER_OPERATOR_TOKENS=ops=secret": "64 hexadecimal digits",
		"TANAGER_CERT_FILE=":                 "not set",
		"TANAGER_SEAT=4":                     "unknown variable",
	}
	all := append([]string(nil), validEnvironment...)
	for line, want := range cases {
		t.Run(line, func(t *testing.T) {
			_, err := load(append(append([]string(nil), validEnvironment...), line))
			if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "secret") {
				t.Fatalf("error is %v, want text %q and no secret", err, want)
			}
			var fieldErr *FieldError
			if !errors.As(err, &fieldErr) {
				t.Fatalf("error has type %T, want *FieldError", err)
			}
		})
		all = append(all, line)
	}
	_, err := load(all)
	if got := len(strings.Split(fmt.Sprint(err), "\n")); got != len(cases) {
		t.Fatalf("%d errors reported, want %d:\n%v", got, len(cases), err)
	}
}

// FuzzLoad checks that no value of a setting makes Load panic or accept an invalid address.
func FuzzLoad(f *testing.F) {
	f.Add("a=127.0.0.1:8", "ops="+strings.Repeat("0", 64), "1s")
	f.Fuzz(func(t *testing.T, seeds, tokens, skew string) {
		s, err := load(append(append([]string(nil), validEnvironment...), "TANAGER_SEEDS="+seeds, "TANAGER_OPERATOR_TOKENS="+tokens, "TANAGER_CLOCK_SKEW="+skew))
		if err != nil {
			return
		}
		for _, seed := range s.Seeds {
			if !seed.Addr.IsValid() || seed.Addr.Port() == 0 || seed.Name == "" {
				t.Fatalf("invalid seed %+v was accepted", seed)
			}
		}
	})
}
