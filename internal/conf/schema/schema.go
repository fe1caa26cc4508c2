// Package schema generates the published JSON schemas and the page of the settings
// from the Go structs and their comments. The results are committed, so that the build
// needs no generator. A test checks that they match the code.
package schema

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/invopop/jsonschema"

	"github.com/jujubescale/jujubescale/internal/conf/config"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

//go:generate go run ./write ../../..

// Paths of the published schemas, relative to the root of the repository. Those of
// the settings are in the package of the structs because the daemons embed them.
const (
	Manifest = "docs/schema/manifest.schema.json"
	Entry    = "internal/conf/config/entry.schema.json"
	Agent    = "internal/conf/config/agent.schema.json"
	Gateway  = "internal/conf/config/gateway.schema.json"
)

const module = "github.com/jujubescale/jujubescale"

// File is one published schema.
type File struct {
	// Path of the file, relative to the root of the repository.
	Path string
	// Document is a value of the struct that the schema describes.
	Document any
}

// Files returns the published schemas.
func Files() []File {
	return []File{
		{Path: Manifest, Document: manif.Manifest{}},
		{Path: Entry, Document: config.Entry{}},
		{Path: Agent, Document: config.Agent{}},
		{Path: Gateway, Document: config.Gateway{}},
	}
}

// Generate returns a schema as indented JSON. It reads the comments of the structs from
// the source below root.
func Generate(root string, file File) ([]byte, error) {
	reflector := jsonschema.Reflector{ExpandedStruct: true}
	if err := addComments(&reflector, root); err != nil {
		return nil, err
	}
	schema := reflector.Reflect(file.Document)
	schema.ID = jsonschema.ID("https://" + module + "/" + file.Path)
	raw, err := json.MarshalIndent(schema, "", "  ")
	return append(raw, '\n'), err
}

// addComments adds the comments of the structs to the reflector. It changes the working
// directory to root meanwhile, because the library derives the path of a package from
// the path of the directory that it reads.
func addComments(reflector *jsonschema.Reflector, root string) error {
	previous, err := os.Getwd()
	if err != nil {
		return err
	}
	if err := os.Chdir(root); err != nil {
		return err
	}
	defer func() { _ = os.Chdir(previous) }() // it was the working directory before, so it exists
	return reflector.AddGoComments(module, filepath.Join("internal", "conf"), jsonschema.WithFullComment())
}

// Write generates all schemas and the page of the settings and writes them below root.
func Write(root string) error {
	for _, file := range Files() {
		raw, err := Generate(root, file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(root, file.Path), raw, 0o644); err != nil {
			return err
		}
	}
	page, err := SettingsPage(root)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(root, Settings), page, 0o644)
}
