// Package check reads a manifest, fills what was left out and finds every fault
// in it. It runs before a release is written and again before one is put in
// force, so that a document that someone wrote by another way never takes effect.
package check

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/jujubescale/jujubescale/internal/conf/decode"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

// Manifest reads a manifest, fills its defaults and checks it. All faults come
// back in one fault.InvalidListError.
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

// Fill fills the defaults of a manifest and checks it.
func Fill(m *manif.Manifest) error {
	step.ApplyDefaults(Steps(), m)
	return step.Check(Steps(), m)
}

// Steps returns the defaults and checks of a manifest in their order.
func Steps() []step.Step[manif.Manifest] {
	return []step.Step[manif.Manifest]{
		{Name: "availability zones", Check: checkZones},
		{Name: "pools", Default: defaultPools, Check: checkPools},
		{Name: "models of pools", Check: checkModels},
		{Name: "endpoints taken out", Check: checkLeftEndpoints},
		{Name: "pipelines", Check: checkPipelines},
		{Name: "stages", Default: defaultStages, Check: checkStages},
		{Name: "services", Default: defaultServices, Check: checkServices},
		{Name: "calls of plain services", Default: defaultCalls, Check: checkCalls},
		{Name: "organisations", Default: defaultOrganisations, Check: checkOrganisations},
		{Name: "tokens", Check: checkTokens},
	}
}

// Patterns of names. Names become parts of URLs, of object names and of metric
// labels, so nothing that would need escaping is let in.
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

// checkName checks a name of the manifest's own and that it stands only once.
func checkName(report *step.Report, unique *step.Unique, path, name string) {
	if !namePattern.MatchString(name) {
		report.Add(path, name, allowedName)
		return
	}
	unique.Add(report, path, name)
}

// oneOf says which names exist, for a reference to one that does not.
func oneOf(what string, names []string) string {
	const shown = 20
	if len(names) == 0 {
		return "the name of " + what + "; there is none"
	}
	if len(names) > shown {
		return fmt.Sprintf("the name of %s: %s and %d more", what, strings.Join(names[:shown], ", "), len(names)-shown)
	}
	return fmt.Sprintf("the name of %s: %s", what, strings.Join(names, ", "))
}
