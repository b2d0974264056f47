package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"sigs.k8s.io/yaml"
)

// MaxTextBytes is the maximum length of the text of a document. The text is stored in a
// single row of the platform's tables.
const MaxTextBytes = 256 << 10

// maxFaults is the maximum number of faults in one InvalidError, whose text is shown to
// people.
const maxFaults = 100

// Fault is one error in a document.
type Fault struct {
	// Field is the path of the invalid field, such as "classes.hold.window". It is empty
	// if the error is in the text as a whole.
	Field string
	// Detail describes the error, with the value that was found.
	Detail string
	// Accepted describes the values that the field accepts; empty if there is nothing to
	// add to Detail.
	Accepted string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	text := f.Detail
	if f.Field != "" {
		text = f.Field + ": " + text
	}
	if f.Accepted != "" {
		text += " (accepted: " + f.Accepted + ")"
	}
	return text
}

// InvalidError reports the faults of a document.
type InvalidError struct {
	Faults []Fault
}

// Error returns a message that lists all faults.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return "invalid policy: " + strings.Join(lines, "; ")
}

// Decode decodes a document from YAML and validates it. Unknown fields, duplicate keys
// and values out of range are errors. The error is an *InvalidError that lists all
// faults, up to maxFaults.
func Decode(text string) (*Document, error) {
	data, err := toJSON(text)
	if err != nil {
		return nil, &InvalidError{Faults: []Fault{{Detail: err.Error()}}}
	}
	faults := checkShape(data)
	doc := new(Document)
	if err := json.Unmarshal(data, doc); err != nil {
		if len(faults) == 0 {
			faults = []Fault{{Detail: err.Error()}}
		}
		return nil, newInvalidError(faults)
	}
	faults = append(faults, doc.faults()...)
	if len(faults) > 0 {
		return nil, newInvalidError(faults)
	}
	return doc, nil
}

// newInvalidError returns an InvalidError with the first maxFaults faults and a last
// entry with the number of the others.
func newInvalidError(faults []Fault) *InvalidError {
	if more := len(faults) - maxFaults; more > 0 {
		faults = append(faults[:maxFaults], Fault{Detail: fmt.Sprintf("and %d more faults", more)})
	}
	return &InvalidError{Faults: faults}
}

// toJSON converts YAML to JSON, whose field names checkShape compares exactly.
func toJSON(text string) ([]byte, error) {
	if len(text) > MaxTextBytes {
		return nil, fmt.Errorf("the text has %d bytes; at most %d are accepted", len(text), MaxTextBytes)
	}
	data, err := yaml.YAMLToJSONStrict([]byte(text))
	if err != nil {
		return nil, fmt.Errorf("the text is not valid YAML: %w", err)
	}
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return nil, fmt.Errorf("the text is empty")
	}
	return data, nil
}
