package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"sigs.k8s.io/yaml"
)

// MaxTextBytes is the longest text of a document. One row of the platform's
// tables has to hold it.
const MaxTextBytes = 256 << 10

// maxFaults bounds the faults of one error, whose text goes to people.
const maxFaults = 100

// Fault is one thing wrong with a document.
type Fault struct {
	// Field is the path of the field at fault, such as "classes.hold.window". It
	// is empty if the text as a whole is at fault.
	Field string
	// Detail says what is wrong, with the value that was found.
	Detail string
	// Accepted is the range or the values that the field accepts.
	Accepted string
}

// String gives the fault as one line.
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

// InvalidError reports everything that is wrong with a document.
type InvalidError struct {
	Faults []Fault
}

// Error lists all faults.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return "invalid policy: " + strings.Join(lines, "; ")
}

// Decode reads a document from YAML. Unknown fields, duplicate keys and values
// outside their range are errors. The error is an *InvalidError with all faults
// at once.
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

// newInvalidError reports up to maxFaults faults and counts the others.
func newInvalidError(faults []Fault) *InvalidError {
	if more := len(faults) - maxFaults; more > 0 {
		faults = append(faults[:maxFaults], Fault{Detail: fmt.Sprintf("and %d more faults", more)})
	}
	return &InvalidError{Faults: faults}
}

// toJSON turns YAML into JSON, which decodes with exact field names.
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
