package policy

import "strings"

// maxDiffLines bounds the lines that Difference compares one by one; the cost
// grows with their product.
const maxDiffLines = 2000

// contextLines is how many common lines are shown before and after a change.
const contextLines = 2

// Difference returns the lines that differ between two texts: removed lines
// begin with "-", added ones with "+", and common ones next to a change with a
// space. It is empty if the texts are equal.
func Diff(before, after string) string {
	if before == after {
		return ""
	}
	a, b := splitLines(before), splitLines(after)
	prefix := max(0, commonPrefix(a, b)-contextLines)
	a, b = a[prefix:], b[prefix:]
	suffix := max(0, commonSuffix(a, b)-contextLines)
	a, b = a[:len(a)-suffix], b[:len(b)-suffix]
	if len(a)*len(b) > maxDiffLines*maxDiffLines {
		return strings.Join(append(mark("-", a), mark("+", b)...), "\n")
	}
	return strings.Join(withContext(diffLines(a, b)), "\n")
}

// diffLines marks the lines of the shortest edit from a to b.
func diffLines(a, b []string) []string {
	common := commonLengths(a, b)
	var out []string
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			out = append(out, " "+a[i])
			i++
			j++
		case common[i+1][j] >= common[i][j+1]:
			out = append(out, "-"+a[i])
			i++
		default:
			out = append(out, "+"+b[j])
			j++
		}
	}
	out = append(out, mark("-", a[i:])...)
	return append(out, mark("+", b[j:])...)
}

// commonLengths returns, for each pair of suffixes of a and b, the length of
// their longest common subsequence.
func commonLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}

// withContext drops common lines that are not next to a change.
func withContext(lines []string) []string {
	var out []string
	for i, line := range lines {
		if !strings.HasPrefix(line, " ") || nearChange(lines, i, contextLines) {
			out = append(out, line)
		}
	}
	return out
}

func nearChange(lines []string, at, distance int) bool {
	for i := max(0, at-distance); i < min(len(lines), at+distance+1); i++ {
		if !strings.HasPrefix(lines[i], " ") {
			return true
		}
	}
	return false
}

func splitLines(text string) []string {
	return strings.Split(strings.TrimRight(text, "\n"), "\n")
}

func mark(sign string, lines []string) []string {
	marked := make([]string, len(lines))
	for i, line := range lines {
		marked[i] = sign + line
	}
	return marked
}

func commonPrefix(a, b []string) int {
	count := 0
	for count < min(len(a), len(b)) && a[count] == b[count] {
		count++
	}
	return count
}

func commonSuffix(a, b []string) int {
	count := 0
	for count < min(len(a), len(b)) && a[len(a)-1-count] == b[len(b)-1-count] {
		count++
	}
	return count
}
