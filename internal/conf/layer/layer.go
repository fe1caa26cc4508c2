// Package layer reads settings from a JSON file, the environment and flags.
// Flags take precedence over the environment, and the environment over the file. An
// unknown field or variable is an error; if a misspelt setting were ignored, its
// default would apply unnoticed. The caller's flag parser must refuse unknown flags.
package layer

import (
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"

	"github.com/jujubescale/jujubescale/internal/conf/decode"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

// Prefix is the prefix of the names of all environment variables for settings.
const Prefix = "JUJUBESCALE_"

// Field is one setting that a flag or an environment variable can set.
type Field struct {
	// Path is the path in the JSON document, such as "operatorsTls.certFile".
	Path string
	// Flag is the name of the flag without dashes, such as "operators-tls-cert-file".
	Flag string
	// Env is the name of the environment variable, such as "JUJUBESCALE_OPERATORS_TLS_CERT_FILE".
	Env string
	// Bool is set if the flag needs no value.
	Bool bool

	// index of the field in the struct, as reflect.Value.FieldByIndex takes it.
	index []int
}

// Fields returns the settings of a struct.
func Fields[T any]() []Field { return fieldsOf(reflect.TypeFor[T](), nil, nil) }

func fieldsOf(structType reflect.Type, path []string, index []int) []Field {
	var fields []Field
	for i := range structType.NumField() {
		f := structType.Field(i)
		fieldIndex := append(append([]int{}, index...), i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "":
			fields = append(fields, fieldsOf(f.Type, path, fieldIndex)...)
		case f.Type.Kind() == reflect.Struct:
			fields = append(fields, fieldsOf(f.Type, append(append([]string{}, path...), name), fieldIndex)...)
		default:
			fields = append(fields, newField(strings.Join(append(append([]string{}, path...), name), "."), f.Type, fieldIndex))
		}
	}
	return fields
}

func newField(path string, fieldType reflect.Type, index []int) Field {
	flag := kebab(path)
	return Field{
		Path: path, Flag: flag, Env: Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")),
		Bool: fieldType.Kind() == reflect.Bool, index: index,
	}
}

// kebab converts "operatorsTls.certFile" into "operators-tls-cert-file".
func kebab(path string) string {
	var out strings.Builder
	for _, r := range path {
		switch {
		case r == '.':
			out.WriteByte('-')
		case r >= 'A' && r <= 'Z':
			out.WriteByte('-')
			out.WriteRune(r - 'A' + 'a')
		default:
			out.WriteRune(r)
		}
	}
	return out.String()
}

// Value is the value of one flag, as text.
type Value struct {
	Flag string
	Text string
}

// Sources are the sources of settings.
type Sources struct {
	// File is the name of the JSON file; if it is empty, no file is read.
	File string
	// Env is the environment as os.Environ returns it.
	Env []string
	// Flags are the flags on the command line.
	Flags []Value
}

// Load reads the sources into a new T, fills in its defaults and checks it. It stops
// after the first of these with faults: the file, the environment with the flags, the
// checks. It returns their faults in one fault.InvalidListError.
func Load[T any](sources Sources, steps []step.Step[T]) (*T, error) {
	settings := new(T)
	if sources.File != "" {
		raw, err := os.ReadFile(sources.File)
		if err != nil {
			return nil, err
		}
		if settings, err = decode.Strict[T](raw); err != nil {
			return nil, fmt.Errorf("%s: %w", sources.File, err)
		}
	}
	var report step.Report
	fields := Fields[T]()
	applyEnv(settings, fields, sources.Env, &report)
	applyFlags(settings, fields, sources.Flags, &report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	step.ApplyDefaults(steps, settings)
	if err := step.Check(steps, settings); err != nil {
		return nil, err
	}
	return settings, nil
}

// Set applies flags to settings and ignores unknown flags. It returns all faults in
// one fault.InvalidListError.
func Set[T any](settings *T, flags []Value) error {
	var report step.Report
	applyFlags(settings, Fields[T](), flags, &report)
	return report.Err()
}

func applyEnv[T any](settings *T, fields []Field, env []string, report *step.Report) {
	for _, entry := range env {
		name, text, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, Prefix) || name == Prefix+"CONFIG" {
			continue
		}
		field := find(fields, func(f Field) bool { return f.Env == name })
		if field == nil {
			report.Add("environment "+name, name, "a known variable; the nearest is "+nearest(fields, name))
			continue
		}
		set(settings, field, "environment "+name, text, report)
	}
}

func applyFlags[T any](settings *T, fields []Field, flags []Value, report *step.Report) {
	for _, value := range flags {
		if field := find(fields, func(f Field) bool { return f.Flag == value.Flag }); field != nil {
			set(settings, field, "--"+value.Flag, value.Text, report)
		}
	}
}

func find(fields []Field, matches func(Field) bool) *Field {
	for i := range fields {
		if matches(fields[i]) {
			return &fields[i]
		}
	}
	return nil
}

func nearest(fields []Field, name string) string {
	best := fields[0].Env
	for _, field := range fields {
		if levenshtein.ComputeDistance(name, field.Env) < levenshtein.ComputeDistance(name, best) {
			best = field.Env
		}
	}
	return best
}

func set[T any](settings *T, field *Field, source, text string, report *step.Report) {
	target := reflect.ValueOf(settings).Elem().FieldByIndex(field.index)
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Bool:
		enabled, err := strconv.ParseBool(text)
		if err != nil {
			report.Add(source, text, "true or false")
			return
		}
		target.SetBool(enabled)
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			report.Add(source, text, "a number")
			return
		}
		target.SetFloat(number)
	case reflect.Slice:
		target.Set(reflect.ValueOf(strings.Split(text, ",")))
	default:
		number, err := strconv.ParseInt(text, 10, target.Type().Bits())
		if err != nil {
			report.Add(source, text, "a whole number")
			return
		}
		target.SetInt(number)
	}
}
