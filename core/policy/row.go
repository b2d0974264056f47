package policy

import (
	"encoding/json"
	"fmt"
	"time"
)

// The rows of the platform's tables that policy uses.
const (
	// Table holds the version in force under CurrentKey.
	Table = "policy"
	// CurrentKey is the key of the version in force.
	CurrentKey = "current"
	// HistoryTable holds every accepted version under HistoryKey.
	HistoryTable = "policy-history"
)

// HistoryKey returns the key of a version in HistoryTable. Keys sort by number.
func HistoryKey(number int64) string {
	return fmt.Sprintf("%012d", number)
}

// row is the stored form of a Version.
type row struct {
	Number    int64     `json:"number"`
	Author    string    `json:"author"`
	Reason    string    `json:"reason"`
	AppliedAt time.Time `json:"applied-at"`
	Text      string    `json:"text"`
}

// EncodeRow returns the value of a version's row.
func EncodeRow(v *Version) ([]byte, error) {
	data, err := json.Marshal(row{Number: v.Number, Author: v.Author, Reason: v.Reason, AppliedAt: v.AppliedAt, Text: v.Text})
	if err != nil {
		return nil, fmt.Errorf("encoding policy version %d: %w", v.Number, err)
	}
	return data, nil
}

// DecodeRow reads a version from its row and decodes its document.
func DecodeRow(value []byte) (*Version, error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("decoding a policy row: %w", err)
	}
	if r.Number <= 0 {
		return nil, fmt.Errorf("decoding a policy row: version %d is not positive", r.Number)
	}
	doc, err := Decode(r.Text)
	if err != nil {
		return nil, fmt.Errorf("policy version %d: %w", r.Number, err)
	}
	return &Version{Number: r.Number, Author: r.Author, Reason: r.Reason, AppliedAt: r.AppliedAt, Text: r.Text, Document: doc}, nil
}
