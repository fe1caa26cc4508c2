package config

import (
	_ "embed" // the schemas contain the description of each setting
	"encoding/json"
	"strings"
)

//go:embed entry.schema.json
var entrySchema []byte

//go:embed agent.schema.json
var agentSchema []byte

// EntrySchema returns the JSON schema of an entry's settings.
func EntrySchema() []byte { return entrySchema }

// AgentSchema returns the JSON schema of an agent's settings.
func AgentSchema() []byte { return agentSchema }

// node is the part of a JSON schema that describes settings.
type node struct {
	Description string          `json:"description"`
	Default     any             `json:"default"`
	Ref         string          `json:"$ref"`
	Properties  map[string]node `json:"properties"`
	Definitions map[string]node `json:"$defs"`
}

// Usage returns the description and the default that a schema has for the setting at
// a path such as "operatorsTls.certFile". The default is empty if there is none.
func Usage(schema []byte, path string) (description, defaultValue string) {
	var root node
	if err := json.Unmarshal(schema, &root); err != nil {
		return "", ""
	}
	current := root
	var parentDescription string
	for _, name := range strings.Split(path, ".") {
		parentDescription = current.Description
		current = current.Properties[name]
		if definition, found := strings.CutPrefix(current.Ref, "#/$defs/"); found {
			description := current.Description
			current = root.Definitions[definition]
			current.Description = description
		}
	}
	if strings.Contains(path, ".") {
		return parentDescription + " " + current.Description, ""
	}
	if current.Default != nil {
		raw, err := json.Marshal(current.Default)
		if err == nil {
			defaultValue = strings.Trim(string(raw), `"`)
		}
	}
	return current.Description, defaultValue
}
