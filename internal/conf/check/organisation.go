package check

import (
	"fmt"
	"regexp"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func defaultOrganisations(m *manif.Manifest) {
	for i := range m.Organisations {
		o := &m.Organisations[i]
		if o.Weight == 0 {
			o.Weight = 1
		}
	}
}

func checkOrganisations(m *manif.Manifest, report *step.Report) {
	report.Count("organisations", len(m.Organisations), 1, manif.MaxOrganisations)
	services := make(map[string]bool, len(m.Services))
	for i := range m.Services {
		services[m.Services[i].Name] = true
	}
	unique := step.Unique{Allowed: "each organisation name once"}
	for i := range m.Organisations {
		o, at := &m.Organisations[i], step.Index("organisations", i)
		checkName(report, &unique, at+".name", o.Name)
		report.Range(at+".weight", int64(o.Weight), 1, manif.MaxWeight)
		report.Range(at+".priority", int64(o.Priority), 0, manif.MaxPriority)
		report.Range(at+".maxOpen", int64(o.MaxOpen), 0, manif.MaxOpenRequests)
		checkAllowedServices(m, report, at+".services", o, services)
	}
}

func checkAllowedServices(m *manif.Manifest, report *step.Report, path string, o *manif.Organisation, services map[string]bool) {
	unique := step.Unique{Allowed: "each service once"}
	for i, name := range o.Services {
		at := step.Index(path, i)
		if !services[name] {
			report.Add(at, name, existingNames("a service", serviceNames(m)))
			continue
		}
		unique.Add(report, at, name)
	}
}

func serviceNames(m *manif.Manifest) []string {
	names := make([]string, 0, len(m.Services))
	for i := range m.Services {
		names = append(names, m.Services[i].Name)
	}
	return names
}

// checkTokens checks the hashes of tokens. It also reports a hash that occurs twice: if
// two organisations shared it, requests of one would count against the other. A
// message omits a value that is not a hash, because it may be a token set by mistake.
func checkTokens(m *manif.Manifest, report *step.Report) {
	unique := step.Unique{Allowed: "each token hash once in the whole manifest"}
	for i := range m.Organisations {
		path := step.Index("organisations", i) + ".tokenHashes"
		hashes := m.Organisations[i].TokenHashes
		report.Count(path, len(hashes), 1, manif.MaxTokens)
		for j, hash := range hashes {
			at := step.Index(path, j)
			if !hashPattern.MatchString(hash) {
				report.Add(at, fmt.Sprintf("%d bytes", len(hash)), "the SHA-256 hash of a token as 64 hexadecimal digits in lower case")
				continue
			}
			unique.Add(report, at, hash)
		}
	}
}
