package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printer writes formatted text. It keeps the first write error in err and skips all output after
// it, so that its user checks err once at the end.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

// table returns a new table with the given column headers.
func (p *printer) table(headers ...any) *table {
	t := &table{printer: p, writer: tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)}
	t.row(headers...)
	return t
}

// table collects rows and aligns their columns when end is called.
type table struct {
	printer *printer
	writer  *tabwriter.Writer
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	if t.printer.err == nil {
		_, t.printer.err = io.WriteString(t.writer, strings.Join(texts, "\t")+"\n")
	}
}

func (t *table) end() {
	if t.printer.err == nil {
		t.printer.err = t.writer.Flush()
	}
}
