package jobs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func ExampleNewSpec() {
	spec := NewSpec(strings.Repeat("transcode --input s3 ", 50))
	text, err := spec.Text()
	fmt.Println(len(text), spec.Size(), len(spec.packed) < 100, err)
	// Output: 1050 1050 true <nil>
}

func TestSpecKeepsItsText(t *testing.T) {
	random := make([]byte, MaxSpecBytes)
	for i := range random {
		random[i] = byte(rand.Uint32())
	}
	for name, text := range map[string]string{
		"empty":          "",
		"one byte":       "d",
		"compressible":   strings.Repeat("render ", 100),
		"incompressible": string(random),
		"longest":        strings.Repeat("x", MaxSpecBytes),
		"invalid UTF-8":  "\x00\xff\xfe",
	} {
		t.Run(name, func(t *testing.T) {
			spec := NewSpec(text)
			data, err := spec.MarshalCBOR()
			if err != nil {
				t.Fatal(err)
			}
			var read Spec
			if err := read.UnmarshalCBOR(data); err != nil || read != spec {
				t.Fatalf("decoded %q: %v", read, err)
			}
			if got, err := read.Text(); got != text || err != nil || read.Size() != len(text) {
				t.Errorf("text has %d bytes, Size is %d: %v; want %d", len(got), read.Size(), err, len(text))
			}
			if len(spec.packed) > len(text)+1 {
				t.Errorf("%d bytes were packed into %d", len(text), len(spec.packed))
			}
		})
	}
}

// legacyJob is the stored form of a job in versions that did not pack specs.
type legacyJob struct {
	ID   ID     `cbor:"1,keyasint"`
	Spec string `cbor:"3,keyasint,omitempty"`
}

// TestSpecBetweenVersions guards against jobs that lose their spec in a fleet with two
// versions of the program: a version either decodes the whole job or fails.
func TestSpecBetweenVersions(t *testing.T) {
	before, err := encMode.Marshal(legacyJob{ID: "job", Spec: "render"})
	if err != nil {
		t.Fatal(err)
	}
	job, err := Decode[Job](before)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := job.Spec.Text(); text != "render" || err != nil {
		t.Errorf("the spec of an earlier version was decoded as %q, %v", text, err)
	}
	after, err := Encode(job)
	if err != nil {
		t.Fatal(err)
	}
	var read legacyJob
	if err := cbor.Unmarshal(after, &read); err == nil {
		t.Errorf("an earlier version decoded the packed spec as %q", read.Spec)
	}
}

// TestSpecThatCannotBeRead checks that Text returns an error for malformed packed forms.
func TestSpecThatCannotBeRead(t *testing.T) {
	valid := NewSpec(strings.Repeat("render ", 100)).packed
	for name, packed := range map[string]string{
		"unknown format":     "x",
		"no size":            "d",
		"size beyond limits": "d\xff\xff" + valid[specHeaderBytes:],
		"truncated":          valid[:len(valid)/2],
		"not deflated":       "d\x00\x10\xff\xff\xff",
	} {
		if text, err := (Spec{packed: packed}).Text(); !errors.Is(err, errMalformedSpec) || text != "" {
			t.Errorf("%s: decoded as %q, %v", name, text, err)
		}
	}
}
