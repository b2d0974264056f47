package jobs

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding in which a Job or a Progress is stored.
func Encode[T Job | Progress](value T) ([]byte, error) {
	data, err := encMode.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", value, err)
	}
	return data, nil
}

// Decode parses the stored CBOR encoding of a Job or a Progress.
func Decode[T Job | Progress](data []byte) (T, error) {
	var value T
	if err := cbor.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("decode %T: %w", value, err)
	}
	return value, nil
}
