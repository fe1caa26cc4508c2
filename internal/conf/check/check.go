// Package check reads a manifest, fills in its defaults and reports all its faults.
// It runs before a release is written and again before a release takes effect, so
// that an invalid document never takes effect, even if it was written to the store in
// another way.
package check

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/jujubescale/jujubescale/internal/conf/decode"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

// Manifest reads a manifest, fills in its defaults and checks it. It returns all
// faults in one fault.InvalidListError.
func Manifest(raw []byte) (*manif.Manifest, error) {
	m, err := decode.Strict[manif.Manifest](raw)
	if err != nil {
		return nil, err
	}
	if err := Fill(m); err != nil {
		return nil, err
	}
	return m, nil
}

// Fill fills in the defaults of a manifest and checks it. It returns all faults in
// one fault.InvalidListError.
func Fill(m *manif.Manifest) error {
	step.ApplyDefaults(Steps(), m)
	return step.Check(Steps(), m)
}

// Steps returns the defaults and checks of a manifest, in the order in which they
// run.
func Steps() []step.Step[manif.Manifest] {
	return []step.Step[manif.Manifest]{
		{Name: "availability zones", Check: checkZones},
		{Name: "pools", Default: defaultPools, Check: checkPools},
		{Name: "models of pools", Check: checkModels},
		{Name: "disabled endpoints", Check: checkLeftEndpoints},
		{Name: "pipelines", Check: checkPipelines},
		{Name: "stages", Default: defaultStages, Check: checkStages},
		{Name: "services", Default: defaultServices, Check: checkServices},
		{Name: "calls of plain services", Default: defaultCalls, Check: checkCalls},
		{Name: "organisations", Default: defaultOrganisations, Check: checkOrganisations},
		{Name: "tokens", Check: checkTokens},
	}
}

// Patterns of names. Names become parts of URLs, object names and metric labels, so
// the patterns allow no characters that need escaping.
var (
	namePattern     = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	endpointPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,126}$`)
	modelPattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:-]{0,126}$`)
)

const (
	allowedName     = "a lower-case letter, then up to 62 of a-z, 0-9 and -"
	allowedEndpoint = "a letter or digit, then up to 126 of A-Z, a-z, 0-9 and ._:-"
	allowedModel    = "a letter or digit, then up to 126 of A-Z, a-z, 0-9 and ._/:-"
)

// checkName checks the name of an entry of the manifest and that it is unique.
func checkName(report *step.Report, unique *step.Unique, path, name string) {
	if !namePattern.MatchString(name) {
		report.Add(path, name, allowedName)
		return
	}
	unique.Add(report, path, name)
}

// existingNames returns the allowed values for a reference to a name that doesn't
// exist: the first names that do. what is the kind of thing that has the names.
func existingNames(what string, names []string) string {
	const maxShownNames = 20
	if len(names) == 0 {
		return "the name of " + what + "; none is defined"
	}
	if len(names) > maxShownNames {
		return fmt.Sprintf("the name of %s: %s and %d more", what, strings.Join(names[:maxShownNames], ", "), len(names)-maxShownNames)
	}
	return fmt.Sprintf("the name of %s: %s", what, strings.Join(names, ", "))
}
