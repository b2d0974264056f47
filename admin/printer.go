package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printer writes text and remembers the first error, which its owner returns
// at the end.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

// table begins a table with the heads of its columns.
func (p *printer) table(heads ...any) *table {
	t := &table{printer: p, writer: tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)}
	t.row(heads...)
	return t
}

// table aligns the cells of its rows when it ends.
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
