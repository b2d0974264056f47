package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// checkShape compares a JSON document with the type Document and returns a fault for each
// unknown field and each value of the wrong type. The decoder of the standard library
// is not sufficient: it stops at the first fault and ignores the case of field names.
func checkShape(data []byte) []Fault {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return []Fault{{Detail: err.Error()}}
	}
	var shape shapeChecker
	shape.check("", value, reflect.TypeFor[Document]())
	return shape.faults
}

// shapeChecker collects the faults of checkShape.
type shapeChecker struct {
	faults []Fault
}

// add records a fault for a value of the wrong type.
func (s *shapeChecker) add(path, accepted string, value any) {
	s.faults = append(s.faults, Fault{Field: path, Detail: "found " + describe(value), Accepted: accepted})
}

// check compares a value with the type into which it will be decoded. A null value counts
// as a missing field.
func (s *shapeChecker) check(path string, value any, t reflect.Type) {
	if value == nil {
		return
	}
	switch t {
	case reflect.TypeFor[Duration]():
		s.checkDuration(path, value)
		return
	case reflect.TypeFor[time.Time]():
		s.checkTime(path, value)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		s.checkStruct(path, value, t)
	case reflect.Map:
		s.checkMap(path, value, t)
	case reflect.Slice:
		s.checkSlice(path, value, t)
	default:
		s.checkScalar(path, value, t)
	}
}

func (s *shapeChecker) checkStruct(path string, value any, t reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		s.add(path, "a mapping of fields", value)
		return
	}
	fields := fieldTypes(t)
	for _, name := range sortedKeys(object) {
		fieldType, known := fields[name]
		if !known {
			s.faults = append(s.faults, Fault{
				Field:    joinPath(path, name),
				Detail:   "unknown field",
				Accepted: strings.Join(sortedKeys(fields), ", "),
			})
			continue
		}
		s.check(joinPath(path, name), object[name], fieldType)
	}
}

func (s *shapeChecker) checkMap(path string, value any, t reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		s.add(path, "a mapping by name", value)
		return
	}
	for _, name := range sortedKeys(object) {
		s.check(joinPath(path, name), object[name], t.Elem())
	}
}

func (s *shapeChecker) checkSlice(path string, value any, t reflect.Type) {
	list, ok := value.([]any)
	if !ok {
		s.add(path, "a list", value)
		return
	}
	for i, item := range list {
		s.check(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
	}
}

func (s *shapeChecker) checkScalar(path string, value any, t reflect.Type) {
	switch t.Kind() {
	case reflect.String:
		if _, ok := value.(string); !ok {
			s.add(path, "a text", value)
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			s.add(path, "true or false", value)
		}
	case reflect.Float64:
		if number, ok := value.(json.Number); !ok || !isFloat(number) {
			s.add(path, "a number", value)
		}
	default:
		if number, ok := value.(json.Number); !ok || !isInteger(number) {
			s.add(path, "a whole number", value)
		}
	}
}

func (s *shapeChecker) checkDuration(path string, value any) {
	text, ok := value.(string)
	if ok {
		_, err := time.ParseDuration(text)
		ok = err == nil
	}
	if !ok {
		s.add(path, `a duration such as "250ms" or "1.5s"`, value)
	}
}

func (s *shapeChecker) checkTime(path string, value any) {
	text, ok := value.(string)
	if ok {
		_, err := time.Parse(time.RFC3339, text)
		ok = err == nil
	}
	if !ok {
		s.add(path, "an instant such as 2026-12-31T18:00:00Z", value)
	}
}

// fieldTypes returns the types of the fields of a struct by their JSON names.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	types := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		types[name] = field.Type
	}
	return types
}

func isInteger(n json.Number) bool {
	_, err := n.Int64()
	return err == nil
}

func isFloat(n json.Number) bool {
	_, err := n.Float64()
	return err == nil
}

// describe returns a text for people that describes a value. Long values are truncated.
func describe(value any) string {
	const longest = 60
	switch v := value.(type) {
	case map[string]any:
		return "a mapping"
	case []any:
		return "a list"
	case string:
		return truncate(strconv.Quote(v), longest)
	default:
		return truncate(fmt.Sprint(v), longest)
	}
}

// truncate returns at most the first longest bytes of text, with "..." after them if
// anything was cut.
func truncate(text string, longest int) string {
	if len(text) <= longest {
		return text
	}
	return text[:longest] + "..."
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
