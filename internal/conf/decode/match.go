package decode

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"

	"github.com/jujubescale/jujubescale/internal/conf/step"
)

func typeOf(pointer any) reflect.Type { return reflect.TypeOf(pointer).Elem() }

// match compares a value with a Go type and reports the differences.
func match(value any, want reflect.Type, path string, report *step.Report) {
	switch want.Kind() {
	case reflect.Pointer:
		match(value, want.Elem(), path, report)
	case reflect.Struct:
		matchStruct(value, want, path, report)
	case reflect.Slice:
		matchList(value, want, path, report)
	case reflect.String:
		if _, ok := value.(string); !ok {
			report.Add(path, describe(value), "a string")
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			report.Add(path, describe(value), "true or false")
		}
	case reflect.Float64:
		if _, ok := value.(json.Number); !ok {
			report.Add(path, describe(value), "a number")
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		matchInt(value, want, path, report)
	default:
		report.Add(path, describe(value), "a type that documents support, not "+want.String())
	}
}

func matchStruct(value any, want reflect.Type, path string, report *step.Report) {
	fields, ok := value.(object)
	if !ok {
		report.Add(path, describe(value), "an object")
		return
	}
	known := jsonFields(want)
	seen := step.Unique{Allowed: "each field once"}
	for _, f := range fields {
		at := join(path, f.name)
		seen.Add(report, at, f.name)
		fieldType, found := known.find(f.name)
		if !found {
			report.Add(at, f.name, known.nearest(f.name))
			continue
		}
		match(f.value, fieldType, at, report)
	}
}

// matchList compares a list. Null is an empty list, because Go's encoder writes a nil
// slice as null.
func matchList(value any, want reflect.Type, path string, report *step.Report) {
	if value == nil {
		return
	}
	list, ok := value.([]any)
	if !ok {
		report.Add(path, describe(value), "a list")
		return
	}
	for i, entry := range list {
		match(entry, want.Elem(), step.Index(path, i), report)
	}
}

func matchInt(value any, want reflect.Type, path string, report *step.Report) {
	number, ok := value.(json.Number)
	if ok {
		_, err := strconv.ParseInt(number.String(), 10, want.Bits())
		ok = err == nil
	}
	if !ok {
		report.Add(path, describe(value), fmt.Sprintf("a whole number of at most %d bits", want.Bits()))
	}
}

// knownField is a JSON field of a struct.
type knownField struct {
	name      string
	fieldType reflect.Type
}

type knownFields []knownField

func jsonFields(structType reflect.Type) knownFields {
	var known knownFields
	for i := range structType.NumField() {
		field := structType.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case name == "-" || !field.IsExported():
		case field.Anonymous && name == "":
			known = append(known, jsonFields(field.Type)...)
		default:
			known = append(known, knownField{name: name, fieldType: field.Type})
		}
	}
	return known
}

func (k knownFields) find(name string) (reflect.Type, bool) {
	for _, field := range k {
		if field.name == name {
			return field.fieldType, true
		}
	}
	return nil, false
}

// nearest returns the allowed values for an unknown name: the known field with the
// smallest edit distance, and the list of all known fields.
func (k knownFields) nearest(name string) string {
	if len(k) == 0 {
		return "no field"
	}
	names := make([]string, 0, len(k))
	for _, field := range k {
		names = append(names, field.name)
	}
	sort.Strings(names)
	best := names[0]
	for _, candidate := range names {
		if distance(name, candidate) < distance(name, best) {
			best = candidate
		}
	}
	return fmt.Sprintf("a known field; the nearest is %q; known: %s", best, strings.Join(names, ", "))
}

func distance(left, right string) int {
	return levenshtein.ComputeDistance(strings.ToLower(left), strings.ToLower(right))
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func describe(value any) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case object:
		return "an object"
	case []any:
		return "a list"
	default:
		return fmt.Sprint(v)
	}
}
