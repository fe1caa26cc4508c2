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

// addFlags gives a command one flag for each setting, explained by the words
// of the schema.
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
	return readSettingsOf(cmd, steps, file, "")
}

// readSettingsOf is readSettings with a given file. One environment variable
// may be named that is no setting.
func readSettingsOf[T any](cmd *cobra.Command, steps []step.Step[T], file, foreign string) (*T, error) {
	env := slices.DeleteFunc(os.Environ(), func(entry string) bool {
		return foreign != "" && strings.HasPrefix(entry, foreign+"=")
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
