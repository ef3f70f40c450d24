// Package capacity stores measured figures as rows of a CSV file, fits curves to them, and computes the
// figures of docs/CAPACITY.md from them.
package capacity

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
)

// Row is one measured figure.
type Row struct {
	// Role is the part of the system that was measured, such as "controller" or "leader".
	Role string
	// What names the figure within its role, such as "memory_idle_engines".
	What string
	// Size is the number of objects in the measurement, such as engines. The field What names
	// the kind of the objects.
	Size int
	// Seed is the seed of the run's random numbers.
	Seed uint64
	// Value is the figure, in Unit. It is finite.
	Value float64
	// Unit is the unit of Value, such as "MB" or "bytes/s".
	Unit string
	// Machine is the machine of the run, as the function Machine describes it.
	Machine string
	// Commit is the source that was measured, as the function Commit names it.
	Commit string
}

// columns is the header of the file, in the order of a Row's fields.
var columns = []string{"role", "what", "size", "seed", "value", "unit", "machine", "commit"}

// Positions of the fields in a line.
const (
	columnRole = iota
	columnWhat
	columnSize
	columnSeed
	columnValue
	columnUnit
	columnMachine
	columnCommit
)

// Append adds rows to the file at path, and creates the file with a header if there is none. It reads
// the existing file first, and adds nothing to a damaged file (*FileError) and no row that Read would
// reject (*RowError). All rows are added in one write.
func Append(path string, rows []Row) error {
	for _, row := range rows {
		if err := row.check(); err != nil {
			return err
		}
	}
	var text bytes.Buffer
	writer := csv.NewWriter(&text)
	_, err := Read(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		writer.Write(columns)
	case err != nil:
		return err
	}
	for _, row := range rows {
		writer.Write(row.fields())
	}
	writer.Flush()
	return appendText(path, text.Bytes())
}

func appendText(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if _, err := file.Write(text); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// Read returns all rows of the file at path, in file order. For a damaged or truncated file the error is
// a *FileError with the line; for a missing file it wraps os.ErrNotExist.
func Read(path string) ([]Row, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, text)
}

func parse(path string, text []byte) ([]Row, error) {
	damage := func(line int, field, why string) error {
		return &FileError{Path: path, Line: line, Field: field, Why: why}
	}
	if len(text) == 0 {
		return nil, damage(1, "", "the file is empty: its header is missing")
	}
	if text[len(text)-1] != '\n' {
		return nil, damage(bytes.Count(text, []byte("\n"))+1, "", "the line is truncated: its newline is missing")
	}
	reader := csv.NewReader(bytes.NewReader(text))
	reader.FieldsPerRecord = len(columns)
	header, err := reader.Read()
	if err != nil {
		return nil, damage(1, "", err.Error())
	}
	for i, column := range columns {
		if header[i] != column {
			return nil, damage(1, column, fmt.Sprintf("the header has %q instead", header[i]))
		}
	}
	var rows []Row
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return rows, nil
		}
		if err != nil {
			return nil, damage(lineOf(err), "", err.Error())
		}
		line, _ := reader.FieldPos(0)
		row, fault := parseRow(fields)
		if fault != nil {
			return nil, damage(line, fault.Field, fault.Why)
		}
		rows = append(rows, row)
	}
}

// lineOf returns the line number in a CSV parser's error, or 0 if it has none.
func lineOf(err error) int {
	var parsing *csv.ParseError
	if errors.As(err, &parsing) {
		return parsing.Line
	}
	return 0
}

func parseRow(fields []string) (Row, *RowError) {
	row := Row{Role: fields[columnRole], What: fields[columnWhat], Unit: fields[columnUnit],
		Machine: fields[columnMachine], Commit: fields[columnCommit]}
	var err error
	if row.Size, err = strconv.Atoi(fields[columnSize]); err != nil {
		return row, &RowError{Field: "size", Why: fmt.Sprintf("%q is not an integer", fields[columnSize])}
	}
	if row.Seed, err = strconv.ParseUint(fields[columnSeed], 10, 64); err != nil {
		return row, &RowError{Field: "seed", Why: fmt.Sprintf("%q is not an unsigned integer", fields[columnSeed])}
	}
	if row.Value, err = strconv.ParseFloat(fields[columnValue], 64); err != nil {
		return row, &RowError{Field: "value", Why: fmt.Sprintf("%q is not a number", fields[columnValue])}
	}
	return row, row.validate()
}

func (r Row) fields() []string {
	return []string{r.Role, r.What, strconv.Itoa(r.Size), strconv.FormatUint(r.Seed, 10),
		strconv.FormatFloat(r.Value, 'g', -1, 64), r.Unit, r.Machine, r.Commit}
}

// check returns the result of validate as an error.
func (r Row) check() error {
	if fault := r.validate(); fault != nil {
		return fault
	}
	return nil
}

// validate returns why the file can't hold the row, or nil if it can.
func (r Row) validate() *RowError {
	texts := []struct{ field, text string }{{"role", r.Role}, {"what", r.What}, {"unit", r.Unit},
		{"machine", r.Machine}, {"commit", r.Commit}}
	for _, x := range texts {
		if x.text == "" {
			return &RowError{Field: x.field, Why: "empty"}
		}
	}
	if r.Size < 0 {
		return &RowError{Field: "size", Why: "below 0"}
	}
	if math.IsNaN(r.Value) || math.IsInf(r.Value, 0) {
		return &RowError{Field: "value", Why: "not finite"}
	}
	return nil
}
