package peer

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessageBytes is the maximum size of an encoded message or answer.
const MaxMessageBytes = 16 << 20

const (
	maxNesting  = 16
	maxElements = 1 << 17
)

// envelope is a message on the wire.
type envelope struct {
	Kind string `cbor:"1,keyasint"`
	// Deadline is when the sender stops waiting, by the clock of the sender. A message that
	// arrives later is not handled.
	Deadline time.Time       `cbor:"2,keyasint"`
	Body     cbor.RawMessage `cbor:"3,keyasint"`
}

// reply is an answer on the wire. If Code is not empty, Call returns it as a RemoteError.
type reply struct {
	Code   string          `cbor:"1,keyasint,omitempty"`
	Detail string          `cbor:"2,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// codec encodes and decodes CBOR.
type codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

func newCodec() (*codec, error) {
	encoder, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("creating CBOR encoder: %w", err)
	}
	decoder, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("creating CBOR decoder: %w", err)
	}
	return &codec{encoder: encoder, decoder: decoder}, nil
}

// encode returns value as CBOR. The error is a *SizeError if that exceeds MaxMessageBytes.
func (c *codec) encode(value any) ([]byte, error) {
	data, err := c.encoder.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encoding %T: %w", value, err)
	}
	if len(data) > MaxMessageBytes {
		return nil, &SizeError{Bytes: len(data)}
	}
	return data, nil
}

// decode decodes data, which must hold exactly one value, as type T.
func decode[T any](c *codec, data []byte) (T, error) {
	var value T
	if err := c.decoder.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("decoding %T: %w", value, err)
	}
	return value, nil
}
