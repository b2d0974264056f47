package policy

import (
	"encoding/json"
	"fmt"
	"time"
)

// The rows of the platform's tables that policy uses. The head is small, since
// every entry VM reads it each second; the text of a version is read only once.
const (
	// Table holds the head under CurrentKey.
	Table = "policy"
	// CurrentKey is the key of the head.
	CurrentKey = "current"
	// HistoryTable holds every accepted version under HistoryKey.
	HistoryTable = "policy-history"
)

// HistoryKey returns the key of a version in HistoryTable. Keys sort by number.
func HistoryKey(number int64) string {
	return fmt.Sprintf("%012d", number)
}

// Head names the newest accepted version. It is written in one transaction
// with the version's row in HistoryTable.
type Head struct {
	Number int64  `json:"number"`
	ID     string `json:"id"`
}

// EncodeHead returns the value of the head's row.
func EncodeHead(h Head) ([]byte, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encoding the policy head: %w", err)
	}
	return data, nil
}

// DecodeHead reads the head from its row.
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

// row is the stored form of a Version.
type row struct {
	Number    int64     `json:"number"`
	ID        string    `json:"id"`
	Author    string    `json:"author"`
	Reason    string    `json:"reason"`
	AppliedAt time.Time `json:"applied-at"`
	Text      string    `json:"text"`
}

// EncodeRow returns the value of a version's row.
func EncodeRow(v *Version) ([]byte, error) {
	data, err := json.Marshal(row{Number: v.Number, ID: v.ID, Author: v.Author, Reason: v.Reason, AppliedAt: v.AppliedAt, Text: v.Text})
	if err != nil {
		return nil, fmt.Errorf("encoding policy version %d: %w", v.Number, err)
	}
	return data, nil
}

// DecodeRow reads a version from its row and decodes its document.
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

// DecodeHistory reads a version from its row without decoding its document,
// whose format may be older than this program.
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
