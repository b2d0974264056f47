package jobs

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Spec is the caller's description of what the tasks of a job run. It is kept
// compressed, because it is by far the largest part of a job: it is stored once, read
// by the leader twice and sent to each relay that starts tasks of the job, and only
// the relay needs the text. The zero value is the empty spec. Specs are comparable.
type Spec struct{ packed string }

// errMalformedSpec is wrapped by errors about a packed spec that is malformed.
var errMalformedSpec = errors.New("spec cannot be read")

// The first byte of the packed form tells whether the text is deflated. If it is, the size of
// the text follows in two bytes, in big-endian order.
const (
	specPlain       = "p"
	specDeflated    = "d"
	specHeaderBytes = len(specDeflated) + 2
)

// NewSpec returns the spec with a text, deflated if that makes it shorter.
func NewSpec(text string) Spec {
	if text == "" {
		return Spec{}
	}
	if deflated := specDeflater.deflate(text); len(deflated) < len(text) && len(text) <= math.MaxUint16 {
		return Spec{packed: deflated}
	}
	return Spec{packed: specPlain + text}
}

// Text returns the text of the spec.
func (s Spec) Text() (string, error) {
	size, deflated, err := s.parseHeader()
	if err != nil || !deflated {
		return s.packed[len(s.packed)-size:], err
	}
	if size > MaxSpecBytes {
		return "", fmt.Errorf("%w: text has %d bytes, limit is %d", errMalformedSpec, size, MaxSpecBytes)
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(flate.NewReader(strings.NewReader(s.packed[specHeaderBytes:])), text); err != nil {
		return "", fmt.Errorf("%w: %w", errMalformedSpec, err)
	}
	return string(text), nil
}

// Size returns the length of the text in bytes, or zero if the spec is malformed.
func (s Spec) Size() int {
	size, _, _ := s.parseHeader()
	return size
}

// parseHeader parses the header of the packed form. It returns the size of the text in bytes, and
// whether the text is deflated.
func (s Spec) parseHeader() (size int, deflated bool, err error) {
	switch {
	case s.packed == "":
		return 0, false, nil
	case strings.HasPrefix(s.packed, specPlain):
		return len(s.packed) - len(specPlain), false, nil
	case strings.HasPrefix(s.packed, specDeflated) && len(s.packed) >= specHeaderBytes:
		return int(binary.BigEndian.Uint16([]byte(s.packed[len(specDeflated):specHeaderBytes]))), true, nil
	default:
		return 0, false, fmt.Errorf("%w: unknown format byte %q", errMalformedSpec, s.packed[:1])
	}
}

// MarshalCBOR implements cbor.Marshaler.
func (s Spec) MarshalCBOR() ([]byte, error) { return cbor.Marshal([]byte(s.packed)) }

// UnmarshalCBOR implements cbor.Unmarshaler. It does not validate a packed form; Text does.
// It also accepts a text string, which is how earlier versions of the program stored a spec.
// Those versions fail to decode the packed form, so that they cannot start a job without
// its spec.
func (s *Spec) UnmarshalCBOR(data []byte) error {
	var value any
	if err := cbor.Unmarshal(data, &value); err != nil {
		return err
	}
	switch form := value.(type) {
	case []byte:
		s.packed = string(form)
	case string:
		*s = NewSpec(form)
	default:
		return fmt.Errorf("%w: stored as %T", errMalformedSpec, value)
	}
	return nil
}

// specDeflater is shared by the whole process, because the tables of a compressor take about a
// megabyte.
var specDeflater deflater

type deflater struct {
	mu     sync.Mutex
	writer *flate.Writer
}

// deflate returns the packed form of a text with the text deflated. It is longer than the
// text if the text does not compress.
func (d *deflater) deflate(text string) string {
	var out bytes.Buffer
	out.WriteString(specDeflated)
	out.Write(binary.BigEndian.AppendUint16(nil, uint16(len(text))))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.writer == nil {
		writer, err := flate.NewWriter(&out, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is a constant
		}
		d.writer = writer
	} else {
		d.writer.Reset(&out)
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = io.WriteString(d.writer, text)
	_ = d.writer.Close()
	return out.String()
}
