package claim

import (
	"encoding/json"
	"fmt"
	"time"
)

// Table is the name of the table of claims.
const Table = "claims"

// Row is the value of a claim's row.
type Row struct {
	// Owner is the entry VM that may send the request.
	Owner string `json:"owner"`
	// Nonce tells apart the attempts to claim, also those of one VM.
	Nonce string `json:"nonce"`
	// Digest tells the request from another one that reuses its key.
	Digest uint64 `json:"digest,string"`
	// KeepUntil is the instant after which the row means nothing.
	KeepUntil time.Time `json:"keep-until"`
}

// Encode returns the row's value.
func (r Row) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRow reads a row's value.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, fmt.Errorf("claim row: %w", err)
	}
	return r, nil
}
