package schema_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/invopop/jsonschema"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/conf/schema"
)

const root = "../../.."

// If a field is added to a struct and the schemas aren't generated again, the users'
// build, which checks its manifest against the published schema, refuses the field.
func TestCommittedSchemasMatchStructs(t *testing.T) {
	for _, file := range schema.Files() {
		t.Run(file.Path, func(t *testing.T) {
			want, err := schema.Generate(root, file)
			assert.NilError(t, err)
			got, err := os.ReadFile(filepath.Join(root, file.Path))
			assert.NilError(t, err)
			assert.Equal(t, string(got), string(want), "run: go generate ./internal/conf/schema")
		})
	}
}

// The bounds exist twice, as tags for the schema and as constants for the checks. The
// checks must not refuse a manifest because of a bound that the schema doesn't have.
func TestSchemaHasBoundsOfChecks(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, schema.Manifest))
	assert.NilError(t, err)
	var published jsonschema.Schema
	assert.NilError(t, json.Unmarshal(raw, &published))
	property := func(parent *jsonschema.Schema, name string) *jsonschema.Schema {
		found, ok := parent.Properties.Get(name)
		assert.Assert(t, ok, name)
		return found
	}
	pipeline, stage := published.Definitions["Pipeline"], published.Definitions["Stage"]
	organisation, pool := published.Definitions["Organisation"], published.Definitions["Pool"]
	assert.Equal(t, *property(&published, "organisations").MaxItems, uint64(manif.MaxOrganisations))
	assert.Equal(t, *property(&published, "pipelines").MaxItems, uint64(manif.MaxPipelines))
	assert.Equal(t, *property(&published, "availabilityZones").MaxItems, uint64(manif.MaxZones))
	assert.Equal(t, *property(pipeline, "stages").MinItems, uint64(manif.MinStages))
	assert.Equal(t, *property(pipeline, "stages").MaxItems, uint64(manif.MaxStages))
	assert.Equal(t, property(pipeline, "deadlineMs").Minimum.String(), fmt.Sprint(manif.MinDeadlineMs))
	assert.Equal(t, property(pipeline, "deadlineMs").Maximum.String(), fmt.Sprint(manif.MaxDeadlineMs))
	assert.Equal(t, property(stage, "cost").Maximum.String(), fmt.Sprint(manif.MaxCost))
	assert.Equal(t, len(property(stage, "kind").Enum), len(manif.StageKinds()))
	assert.Equal(t, len(property(pool, "kind").Enum), len(manif.PoolKinds()))
	assert.Equal(t, property(pool, "limit").Maximum.String(), fmt.Sprint(manif.MaxLimit))
	assert.Equal(t, property(organisation, "weight").Maximum.String(), fmt.Sprint(manif.MaxWeight))
	assert.Equal(t, *property(organisation, "tokenHashes").MaxItems, uint64(manif.MaxTokens))
}

// If a setting is added and the page isn't generated again, operators can't find the
// setting.
func TestSettingsPageMatchesStructs(t *testing.T) {
	want, err := schema.SettingsPage(root)
	assert.NilError(t, err)
	got, err := os.ReadFile(filepath.Join(root, schema.Settings))
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(want), "run: go generate ./internal/conf/schema")
}
