package policy

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"sigs.k8s.io/yaml"
)

// AddException returns the text of a document with an exception appended to its list.
// The other lines stay unchanged, comments included, unless the list is written in a form
// that cannot be edited by lines; then the whole text is written anew, without comments.
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

// RemoveException returns the text of a document without the named exception. It treats
// the other lines like AddException.
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

// verifyOrRewrite returns the edited lines if they decode to want. Otherwise the original
// has a form that the edit does not support, such as a list in brackets, and it returns
// want encoded as YAML, without comments.
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

// sameDocument reports whether documents are equal. An empty list of exceptions equals a
// missing one, and instants are compared regardless of time zone.
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

// listBlock is a YAML list, or one of its items, as the range of lines from start up to
// but not including end.
type listBlock struct {
	// found is false if the document has no such list.
	found      bool
	start, end int
	// indent is the white space before the hyphens of the items.
	indent string
}

// findBlock returns the lines of the list under a top-level key. If there is no such key,
// found is false and end is the number of lines.
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

// items returns a block for each item of the list.
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

// startsItem reports whether a line is the first of a list item.
func startsItem(line string) bool {
	return strings.HasPrefix(strings.TrimLeft(line, " "), "- ")
}

// itemNamed returns a predicate for the line that gives an item its name.
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
