// Package layer reads settings from a JSON file, the environment and flags.
// Later ones win: flags over environment over file. Nothing unknown is let
// through in silence, because a misspelt setting would leave its default in
// force without anyone noticing.
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

// Prefix starts the name of every environment variable that is a setting.
const Prefix = "JUJUBESCALE_"

// Field is one setting that a flag or an environment variable can set.
type Field struct {
	// Path in the JSON document, such as "operatorsTls.certFile".
	Path string
	// Flag is its command-line name, such as "operators-tls-cert-file".
	Flag string
	// Env is its environment variable, such as "JUJUBESCALE_OPERATORS_TLS_CERT_FILE".
	Env string
	// Bool says that the flag needs no value.
	Bool bool

	index []int
}

// Fields lists the settings of a struct.
func Fields[T any]() []Field { return fieldsOf(reflect.TypeFor[T](), nil, nil) }

func fieldsOf(of reflect.Type, path []string, index []int) []Field {
	var fields []Field
	for i := range of.NumField() {
		f := of.Field(i)
		at := append(append([]int{}, index...), i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "":
			fields = append(fields, fieldsOf(f.Type, path, at)...)
		case f.Type.Kind() == reflect.Struct:
			fields = append(fields, fieldsOf(f.Type, append(append([]string{}, path...), name), at)...)
		default:
			fields = append(fields, newField(strings.Join(append(append([]string{}, path...), name), "."), f.Type, at))
		}
	}
	return fields
}

func newField(path string, of reflect.Type, index []int) Field {
	flag := kebab(path)
	return Field{
		Path: path, Flag: flag, Env: Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")),
		Bool: of.Kind() == reflect.Bool, index: index,
	}
}

// kebab turns "operatorsTls.certFile" into "operators-tls-cert-file".
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

// Value is one setting from a flag.
type Value struct {
	Flag string
	Text string
}

// Sources says where settings come from.
type Sources struct {
	// File is the name of the JSON file; empty reads none.
	File string
	// Env is the environment as os.Environ returns it.
	Env []string
	// Flags that were given.
	Flags []Value
}

// Load reads the sources into a new T, fills its defaults and checks it. All
// faults of one kind of source come back in one fault.InvalidListError.
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

// Set sets settings as flags do.
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
			report.Add("environment "+name, name, "a known variable, nearest is "+nearest(fields, name))
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

func find(fields []Field, fits func(Field) bool) *Field {
	for i := range fields {
		if fits(fields[i]) {
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

func set[T any](settings *T, field *Field, where, text string, report *step.Report) {
	target := reflect.ValueOf(settings).Elem().FieldByIndex(field.index)
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Bool:
		on, err := strconv.ParseBool(text)
		if err != nil {
			report.Add(where, text, "true or false")
			return
		}
		target.SetBool(on)
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			report.Add(where, text, "a number")
			return
		}
		target.SetFloat(number)
	case reflect.Slice:
		target.Set(reflect.ValueOf(strings.Split(text, ",")))
	default:
		number, err := strconv.ParseInt(text, 10, target.Type().Bits())
		if err != nil {
			report.Add(where, text, "a whole number")
			return
		}
		target.SetInt(number)
	}
}
