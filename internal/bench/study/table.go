package study

import (
	"fmt"
	"io"
)

// Table writes the summaries of a deployment as a Markdown table.
func Table(w io.Writer, name string, sums []Summary) {
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	line("### %s\n", name)
	line("| case | in time %% | reference | ratio | of allowed %% | worst second %% | wasted %% | reference | " +
		"cost ratio | cut | doubled | false notRun | wrong | falls | last new work ms |")
	line("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for i := range sums {
		s := &sums[i]
		line("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %d | %d | %d | %d | %d | %s |",
			s.Case, s.Attainment.percent(), s.ifReference(s.ReferenceAttainment.percent()),
			s.ifReference(s.AttainmentRatio.ratio()), s.OfAttainable.percent(), s.WorstSecond.percent(),
			s.Wasted.percent(), s.ifReference(s.ReferenceWasted.percent()), s.ifReference(s.CostRatio.ratio()),
			s.Cut, s.Doubled, s.FalseNotRun, s.Wrong, s.Falls, s.lastNewWork())
	}
	line("")
}

// TargetTable writes the targets as a Markdown table.
func TargetTable(w io.Writer, name string, targets []Target) {
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	line("| %s: case | wanted | measured | met |", name)
	line("|---|---|---|---|")
	for _, t := range targets {
		met := "yes"
		if !t.Met {
			met = "**no**"
		}
		line("| %s | %s | %.4g | %s |", t.Case, t.Required, t.Value, met)
	}
	line("")
}

const percent = 100

func (s Spread) percent() string {
	return fmt.Sprintf("%.2f (%.2f–%.2f)", percent*s.Median, percent*s.Min, percent*s.Max)
}

func (s Spread) ratio() string { return fmt.Sprintf("%.3f (%.3f–%.3f)", s.Median, s.Min, s.Max) }

func (s *Summary) ifReference(text string) string {
	if !s.Reference {
		return "–"
	}
	return text
}

func (s *Summary) lastNewWork() string {
	if s.LastNewWorkMs == 0 {
		return "–"
	}
	return fmt.Sprint(s.LastNewWorkMs)
}
