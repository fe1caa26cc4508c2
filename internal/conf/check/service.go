package check

import (
	"net/http"
	"path"
	"strconv"
	"strings"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

// defaultServices sets the deadline of plain services. A service with a pipeline
// uses the deadline of the pipeline.
func defaultServices(m *manif.Manifest) {
	for i := range m.Services {
		s := &m.Services[i]
		if s.DeadlineMs == 0 && s.Pool != "" {
			s.DeadlineMs = manif.DefaultDeadlineMs
		}
	}
}

func checkServices(m *manif.Manifest, report *step.Report) {
	report.Count("services", len(m.Services), 1, manif.MaxServices)
	unique := step.Unique{Allowed: "each service name once"}
	for i := range m.Services {
		s, at := &m.Services[i], step.Index("services", i)
		checkName(report, &unique, at+".name", s.Name)
		switch {
		case s.Pipeline != "" && s.Pool != "":
			report.Add(at, s.Name, "exactly one of pipeline and pool; both are set")
		case s.Pipeline != "":
			checkPipelineService(m, report, at, s)
		case s.Pool != "":
			checkPlainService(m, report, at, s)
		default:
			report.Add(at, s.Name, "exactly one of pipeline and pool; neither is set")
		}
	}
}

func checkPipelineService(m *manif.Manifest, report *step.Report, at string, s *manif.Service) {
	if s.DeadlineMs != 0 {
		report.Add(at+".deadlineMs", strconv.FormatInt(int64(s.DeadlineMs), 10), "only on services with a pool; a pipeline has its own deadline")
	}
	if len(s.Calls) > 0 {
		report.Add(at+".calls", s.Calls[0].Path, "only on services with a pool")
	}
	names := make([]string, 0, len(m.Pipelines))
	for i := range m.Pipelines {
		if m.Pipelines[i].Name == s.Pipeline {
			return
		}
		names = append(names, m.Pipelines[i].Name)
	}
	report.Add(at+".pipeline", s.Pipeline, existingNames("a pipeline", names))
}

func checkPlainService(m *manif.Manifest, report *step.Report, at string, s *manif.Service) {
	report.Range(at+".deadlineMs", int64(s.DeadlineMs), manif.MinDeadlineMs, manif.MaxDeadlineMs)
	report.Count(at+".calls", len(s.Calls), 1, manif.MaxCalls)
	pool := findPool(m, s.Pool)
	if pool == nil {
		report.Add(at+".pool", s.Pool, existingNames("a pool", poolNames(m, manif.KindPlain)))
		return
	}
	if pool.Kind != manif.KindPlain {
		report.Add(at+".pool", s.Pool, "a pool of kind plain; this one is of kind "+string(pool.Kind))
	}
}

func defaultCalls(m *manif.Manifest) {
	for i := range m.Services {
		for j := range m.Services[i].Calls {
			call := &m.Services[i].Calls[j]
			if call.Cost == 0 {
				call.Cost = 1
			}
		}
	}
}

func checkCalls(m *manif.Manifest, report *step.Report) {
	for i := range m.Services {
		list := step.Index("services", i) + ".calls"
		unique := step.Unique{Allowed: "each method and path once in a service"}
		for j := range m.Services[i].Calls {
			call, at := &m.Services[i].Calls[j], step.Index(list, j)
			checkMethod(report, at+".method", call)
			checkPath(report, at+".path", call.Path)
			report.Range(at+".cost", call.Cost, 1, manif.MaxCost)
			unique.Add(report, at, call.Method+" "+call.Path)
		}
	}
}

func checkMethod(report *step.Report, at string, call *manif.PlainCall) {
	switch call.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodPost, http.MethodPatch, http.MethodDelete:
	default:
		report.Add(at, call.Method, "GET, HEAD, PUT, POST, PATCH or DELETE")
	}
}

// checkPath allows only paths in their shortest form. Otherwise a caller could use
// "/a/../b" to reach a path that the manifest doesn't list.
func checkPath(report *step.Report, at, value string) {
	const allowed = `a path that begins with "/", in its shortest form, without a query, and with "*" only as "/*" at the end`
	fixed := strings.TrimSuffix(value, "/*")
	if fixed == "" {
		fixed = "/"
	}
	if len(value) > manif.MaxPathBytes || !strings.HasPrefix(value, "/") ||
		path.Clean(fixed) != fixed || strings.ContainsAny(fixed, "*?#% \\") {
		report.Add(at, value, allowed)
	}
}
