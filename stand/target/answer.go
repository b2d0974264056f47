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

// maxAnswerBytes bounds the answer that a request may ask for.
const maxAnswerBytes = 4 << 20

// Work is what a request asks of the target, in the first line of its body as a
// URL query such as "work=20ms&answer-bytes=4096". Other bodies ask for nothing.
type Work struct {
	// Time is how long the request holds its slot; zero means the target's own.
	Time time.Duration
	// AnswerBytes is the least length of the answer.
	AnswerBytes int
}

// ParseWork reads the first line of a body.
func ParseWork(body []byte) Work {
	line, _, _ := bytes.Cut(body, []byte("\n"))
	values, err := url.ParseQuery(string(line))
	if err != nil {
		return Work{}
	}
	duration, _ := time.ParseDuration(values.Get("work"))
	length, _ := strconv.Atoi(values.Get("answer-bytes"))
	return Work{Time: max(duration, 0), AnswerBytes: min(max(length, 0), maxAnswerBytes)}
}

// Answer returns the whole answer to a request: a line that follows from the
// request, a line that tells executions apart, padding, and an end mark.
func Answer(id string, body []byte, execution string) []byte {
	var answer bytes.Buffer
	answer.WriteString(expectedLine(id, body))
	answer.WriteString("run-by=" + execution + "\n")
	padding := ParseWork(body).AnswerBytes - answer.Len() - len(endMark)
	if padding > 0 {
		answer.WriteString(strings.Repeat("p", padding))
	}
	answer.WriteString(endMark)
	return answer.Bytes()
}

// IsAnswer reports whether answer is the whole answer to the request.
func IsAnswer(id string, body, answer []byte) bool {
	return bytes.HasPrefix(answer, []byte(expectedLine(id, body))) &&
		bytes.HasSuffix(answer, []byte(endMark)) &&
		len(answer) >= ParseWork(body).AnswerBytes
}

// endMark ends each whole answer.
const endMark = "\nend\n"

func expectedLine(id string, body []byte) string {
	sum := sha256.Sum256(body)
	return "id=" + id + " sha256=" + hex.EncodeToString(sum[:]) + "\n"
}
