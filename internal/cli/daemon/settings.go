package daemon

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/conf/config"
	"github.com/jujubescale/jujubescale/internal/conf/layer"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

const (
	configFlag = "config"
	configEnv  = layer.Prefix + "CONFIG"
)

// addFlags adds one flag for each setting to a command. The usage texts are the
// descriptions in the schema.
func addFlags(cmd *cobra.Command, schema []byte, fields []layer.Field) {
	flags := cmd.Flags()
	flags.String(configFlag, "", "JSON file with settings ($"+configEnv+")")
	for _, field := range fields {
		usage, fallback := config.Usage(schema, field.Path)
		if fallback != "" {
			usage += fmt.Sprintf(" (default %s)", fallback)
		}
		flags.String(field.Flag, "", usage)
		if field.Bool {
			flags.Lookup(field.Flag).NoOptDefVal = "true"
		}
	}
}

// readSettings loads the settings of a command from file, environment and flags.
func readSettings[T any](cmd *cobra.Command, steps []step.Step[T]) (*T, error) {
	file := os.Getenv(configEnv)
	if cmd.Flags().Changed(configFlag) {
		file, _ = cmd.Flags().GetString(configFlag) // the flag was defined as a string
	}
	return readSettingsFile(cmd, steps, file, "")
}

// readSettingsFile loads the settings of a command from the named file, the
// environment and flags. The environment variable ignored, if not empty, is not
// read as a setting.
func readSettingsFile[T any](cmd *cobra.Command, steps []step.Step[T], file, ignored string) (*T, error) {
	env := slices.DeleteFunc(os.Environ(), func(entry string) bool {
		return ignored != "" && strings.HasPrefix(entry, ignored+"=")
	})
	sources := layer.Sources{Env: env, File: file}
	flags := cmd.Flags()
	for _, field := range layer.Fields[T]() {
		if flags.Changed(field.Flag) {
			text, _ := flags.GetString(field.Flag) // the flag was defined as a string
			sources.Flags = append(sources.Flags, layer.Value{Flag: field.Flag, Text: text})
		}
	}
	return layer.Load(sources, steps)
}
