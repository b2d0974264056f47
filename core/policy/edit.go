package policy

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"sigs.k8s.io/yaml"
)

// AddException returns the text of a document with one more exception at the
// end of its list. Comments and the order of the rest stay as they are.
func AddException(text string, e Exception) (string, error) {
	doc, err := Decode(text)
	if err != nil {
		return "", err
	}
	want := *doc
	want.Exceptions = append(slices.Clone(doc.Exceptions), e)
	if faults := want.faults(); len(faults) > 0 {
		return "", &InvalidError{Faults: faults}
	}
	item, err := yaml.Marshal([]Exception{e})
	if err != nil {
		return "", fmt.Errorf("exception %s: %w", e.Name, err)
	}
	lines := splitLines(text)
	block := findBlock(lines, "exceptions")
	added := indentLines(splitLines(string(item)), block.indent)
	if !block.found {
		lines = append(lines, "exceptions:")
		block.end = len(lines)
	}
	return verifyOrRewrite(slices.Insert(lines, block.end, added...), &want)
}

// RemoveException returns the text of a document without the named exception.
func RemoveException(text, name string) (string, error) {
	doc, err := Decode(text)
	if err != nil {
		return "", err
	}
	want := *doc
	want.Exceptions = slices.DeleteFunc(slices.Clone(doc.Exceptions), func(e Exception) bool { return e.Name == name })
	if len(want.Exceptions) == len(doc.Exceptions) {
		return "", &InvalidError{Faults: []Fault{{Field: "exceptions", Detail: fmt.Sprintf("there is none named %q", name), Accepted: exceptionNames(doc)}}}
	}
	lines := splitLines(text)
	block := findBlock(lines, "exceptions")
	for _, item := range block.items(lines) {
		if slices.ContainsFunc(lines[item.start:item.end], itemNamed(name)) {
			lines = slices.Delete(lines, item.start, item.end)
			break
		}
	}
	return verifyOrRewrite(lines, &want)
}

func exceptionNames(d *Document) string {
	names := make([]string, len(d.Exceptions))
	for i := range d.Exceptions {
		names[i] = d.Exceptions[i].Name
	}
	return strings.Join(names, ", ")
}

// confirm returns the edited lines if they decode to want. Lines that were
// written in a form that the edit does not know, such as a list in brackets,
// are replaced by a fresh text, which has no comments.
func verifyOrRewrite(lines []string, want *Document) (string, error) {
	edited := strings.Join(lines, "\n") + "\n"
	if doc, err := Decode(edited); err == nil && sameDocument(doc, want) {
		return edited, nil
	}
	fresh, err := yaml.Marshal(want)
	if err != nil {
		return "", fmt.Errorf("writing the document: %w", err)
	}
	return string(fresh), nil
}

// sameDocument compares documents; a list without items equals no list, and
// instants are equal in any zone.
func sameDocument(a, b *Document) bool {
	x, y := *a, *b
	x.Exceptions, y.Exceptions = nil, nil
	return reflect.DeepEqual(x, y) && slices.EqualFunc(a.Exceptions, b.Exceptions, sameException)
}

func sameException(a, b Exception) bool {
	if !a.Until.Equal(b.Until) {
		return false
	}
	a.Until = b.Until
	return a == b
}

// block is a list under a key of the top level, as lines from start to end.
type listBlock struct {
	found      bool
	start, end int
	// indent is the white space before the hyphens of its items.
	indent string
}

// findBlock finds the lines under key. If there is no such key, the block is
// empty and ends at the last line.
func findBlock(lines []string, key string) listBlock {
	b := listBlock{end: len(lines)}
	for i, line := range lines {
		switch {
		case strings.HasPrefix(line, key+":"):
			b.found, b.start, b.end = true, i+1, i+1
		case b.found && startsItem(line):
			b.indent, _, _ = strings.Cut(line, "-")
			b.end = i + 1
		case b.found && strings.HasPrefix(line, " "):
			b.end = i + 1
		case b.found && line != "" && !strings.HasPrefix(line, "#"):
			return b
		}
	}
	return b
}

// items returns the blocks of the list's items.
func (b listBlock) items(lines []string) []listBlock {
	var items []listBlock
	for i := b.start; i < b.end; i++ {
		if strings.HasPrefix(lines[i], b.indent+"-") {
			items = append(items, listBlock{found: true, start: i})
		}
		if len(items) > 0 {
			items[len(items)-1].end = i + 1
		}
	}
	return items
}

func startsItem(line string) bool {
	return strings.HasPrefix(strings.TrimLeft(line, " "), "- ")
}

// namesItem returns a test for the line that names an item.
func itemNamed(name string) func(string) bool {
	return func(line string) bool {
		return strings.TrimLeft(line, " -") == "name: "+name
	}
}

func indentLines(lines []string, indent string) []string {
	indented := make([]string, len(lines))
	for i, line := range lines {
		indented[i] = indent + line
	}
	return indented
}
