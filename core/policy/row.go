package policy

import (
	"encoding/json"
	"fmt"
	"time"
)

// The tables and keys that store policies on the platform. The head is in a row of its
// own, which is small because every entry VM reads it every second; the text of a version
// is read only once.
const (
	// Table is the table that holds the head, under CurrentKey.
	Table = "policy"
	// CurrentKey is the key of the head.
	CurrentKey = "current"
	// HistoryTable is the table that holds all accepted versions, under HistoryKey.
	HistoryTable = "policy-history"
)

// HistoryKey returns the key of a version in HistoryTable. The order of the keys is the
// order of the numbers.
func HistoryKey(number int64) string {
	return fmt.Sprintf("%012d", number)
}

// Head identifies the newest accepted version. It is written in the same transaction as
// the row of that version in HistoryTable.
type Head struct {
	Number int64  `json:"number"`
	ID     string `json:"id"`
}

// EncodeHead returns the value of the row of the head.
func EncodeHead(h Head) ([]byte, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encoding the policy head: %w", err)
	}
	return data, nil
}

// DecodeHead decodes the head from the value of its row. A number that is not positive is
// an error.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, fmt.Errorf("decoding the policy head: %w", err)
	}
	if h.Number <= 0 {
		return Head{}, fmt.Errorf("decoding the policy head: version %d is not positive", h.Number)
	}
	return h, nil
}

// row is the stored form of a Version. The document is stored as text only.
type row struct {
	Number    int64     `json:"number"`
	ID        string    `json:"id"`
	Author    string    `json:"author"`
	Reason    string    `json:"reason"`
	AppliedAt time.Time `json:"applied-at"`
	Text      string    `json:"text"`
}

// EncodeRow returns the value of the row of a version.
func EncodeRow(v *Version) ([]byte, error) {
	data, err := json.Marshal(row{Number: v.Number, ID: v.ID, Author: v.Author, Reason: v.Reason, AppliedAt: v.AppliedAt, Text: v.Text})
	if err != nil {
		return nil, fmt.Errorf("encoding policy version %d: %w", v.Number, err)
	}
	return data, nil
}

// DecodeRow decodes a version, including its document, from the value of its row.
func DecodeRow(value []byte) (*Version, error) {
	v, err := DecodeRowWithoutDocument(value)
	if err != nil {
		return nil, err
	}
	v.Document, err = Decode(v.Text)
	if err != nil {
		return nil, fmt.Errorf("policy version %d: %w", v.Number, err)
	}
	return v, nil
}

// DecodeRowWithoutDocument decodes a version from the value of its row but leaves Document
// nil. It accepts versions whose text is in an older format that Decode rejects.
func DecodeRowWithoutDocument(value []byte) (*Version, error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("decoding a policy row: %w", err)
	}
	if r.Number <= 0 {
		return nil, fmt.Errorf("decoding a policy row: version %d is not positive", r.Number)
	}
	return &Version{Number: r.Number, ID: r.ID, Author: r.Author, Reason: r.Reason, AppliedAt: r.AppliedAt, Text: r.Text}, nil
}
