package policy

import "strings"

// maxDiffLines limits the cost of Diff, which grows with the product of the numbers of
// lines between the first and the last change of both texts. If the product is above
// maxDiffLines squared, Diff returns all these lines as removed and added.
const maxDiffLines = 2000

// contextLines is the number of common lines shown before and after a change.
const contextLines = 2

// Diff returns the lines that differ between two texts: removed lines begin with "-",
// added lines with "+", and common lines near a change with a space. It returns "" if
// the texts are equal.
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
		return strings.Join(append(prefixLines("-", a), prefixLines("+", b)...), "\n")
	}
	return strings.Join(withContext(diffLines(a, b)), "\n")
}

// diffLines returns all lines of the shortest edit from a to b, each with its prefix.
func diffLines(a, b []string) []string {
	common := lcsLengths(a, b)
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
	out = append(out, prefixLines("-", a[i:])...)
	return append(out, prefixLines("+", b[j:])...)
}

// lcsLengths returns, for each pair of suffixes a[i:] and b[j:], the length of their
// longest common subsequence.
func lcsLengths(a, b []string) [][]int {
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

// withContext drops the common lines that are more than contextLines away from a change.
func withContext(lines []string) []string {
	var out []string
	for i, line := range lines {
		if !strings.HasPrefix(line, " ") || nearChange(lines, i, contextLines) {
			out = append(out, line)
		}
	}
	return out
}

// nearChange reports whether there is a changed line at most distance lines before or
// after line at.
func nearChange(lines []string, at, distance int) bool {
	for i := max(0, at-distance); i < min(len(lines), at+distance+1); i++ {
		if !strings.HasPrefix(lines[i], " ") {
			return true
		}
	}
	return false
}

// splitLines returns the lines of a text, without empty lines at its end.
func splitLines(text string) []string {
	return strings.Split(strings.TrimRight(text, "\n"), "\n")
}

// prefixLines returns the lines with prefix before each.
func prefixLines(prefix string, lines []string) []string {
	marked := make([]string, len(lines))
	for i, line := range lines {
		marked[i] = prefix + line
	}
	return marked
}

// commonPrefix returns the number of equal lines at the start of a and b.
func commonPrefix(a, b []string) int {
	count := 0
	for count < min(len(a), len(b)) && a[count] == b[count] {
		count++
	}
	return count
}

// commonSuffix returns the number of equal lines at the end of a and b.
func commonSuffix(a, b []string) int {
	count := 0
	for count < min(len(a), len(b)) && a[len(a)-1-count] == b[len(b)-1-count] {
		count++
	}
	return count
}
