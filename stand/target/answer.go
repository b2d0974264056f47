package target

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// maxAnswerBytes is the maximum length of an answer that a request can ask for.
const maxAnswerBytes = 4 << 20

// WorkSpec describes the work that a request asks for. It is the first line of the body, as a URL
// query such as "work=20ms&answer-bytes=4096". Any other body gives the zero value.
type WorkSpec struct {
	// Duration is how long the request occupies its slot. Zero means the default of the target.
	Duration time.Duration
	// AnswerBytes is the minimum length of the answer.
	AnswerBytes int
}

// ParseWorkSpec parses the first line of a body. Invalid and negative values count as zero, and
// AnswerBytes is limited to maxAnswerBytes.
func ParseWorkSpec(body []byte) WorkSpec {
	line, _, _ := bytes.Cut(body, []byte("\n"))
	values, err := url.ParseQuery(string(line))
	if err != nil {
		return WorkSpec{}
	}
	duration, _ := time.ParseDuration(values.Get("work"))
	length, _ := strconv.Atoi(values.Get("answer-bytes"))
	return WorkSpec{Duration: max(duration, 0), AnswerBytes: min(max(length, 0), maxAnswerBytes)}
}

// Answer returns the complete answer to a request: a line derived from the request, a line that
// identifies the execution, padding, and an end marker.
func Answer(id string, body []byte, execution string) []byte {
	var answer bytes.Buffer
	answer.WriteString(identityLine(id, body))
	answer.WriteString("run-by=" + execution + "\n")
	padding := ParseWorkSpec(body).AnswerBytes - answer.Len() - len(endMarker)
	if padding > 0 {
		answer.WriteString(strings.Repeat("p", padding))
	}
	answer.WriteString(endMarker)
	return answer.Bytes()
}

// IsAnswer reports whether answer is a complete answer to the request.
func IsAnswer(id string, body, answer []byte) bool {
	return bytes.HasPrefix(answer, []byte(identityLine(id, body))) &&
		bytes.HasSuffix(answer, []byte(endMarker)) &&
		len(answer) >= ParseWorkSpec(body).AnswerBytes
}

// endMarker ends each complete answer.
const endMarker = "\nend\n"

func identityLine(id string, body []byte) string {
	sum := sha256.Sum256(body)
	return "id=" + id + " sha256=" + hex.EncodeToString(sum[:]) + "\n"
}
