package schema

import (
	"bytes"
	"fmt"

	"github.com/jujubescale/jujubescale/internal/conf/config"
	"github.com/jujubescale/jujubescale/internal/conf/layer"
)

// Settings is the path of the page of the settings.
const Settings = "docs/SETTINGS.md"

const settingsIntroduction = `# Settings

Made by ` + "`go generate ./internal/conf/schema`" + ` from the structs in
internal/conf/config; change those, not this page.

Each daemon reads one JSON file (` + "`--config FILE` or `JUJUBESCALE_CONFIG`" + `),
then the environment, then its flags; later ones win. An unknown field, variable
or flag is an error that names the nearest known one. All faults are shown in one
go, and a daemon with a fault does not start. Settings take effect at the start
of a process; only the contents of TLS files are read again while it runs. Spans
are in milliseconds, sizes in bytes. The JSON schemas are
[entry.schema.json](../internal/conf/config/entry.schema.json) and
[agent.schema.json](../internal/conf/config/agent.schema.json).

Addresses are IP numbers. A port on another address than loopback needs TLS
files or ` + "`allowPlain`" + `. Idle timeouts are checked against each other: whoever
sends requests on a connection must close it first (` + "`callersIdleMs`" + ` above
` + "`balancerIdleMs`, `endpointKeepMs` below `endpointIdleMs`" + `).
`

// SettingsPage makes the page of the settings.
func SettingsPage(root string) ([]byte, error) {
	var page bytes.Buffer
	page.WriteString(settingsIntroduction)
	if err := table(&page, root, "jujubed entry", File{Path: Entry, Document: config.Entry{}}, layer.Fields[config.Entry]()); err != nil {
		return nil, err
	}
	if err := table(&page, root, "jujubed agent", File{Path: Agent, Document: config.Agent{}}, layer.Fields[config.Agent]()); err != nil {
		return nil, err
	}
	if err := table(&page, root, "jujubed gateway", File{Path: Gateway, Document: config.Gateway{}}, layer.Fields[config.Gateway]()); err != nil {
		return nil, err
	}
	return page.Bytes(), nil
}

func table(page *bytes.Buffer, root, title string, file File, fields []layer.Field) error {
	schema, err := Generate(root, file)
	if err != nil {
		return err
	}
	fmt.Fprintf(page, "\n## %s\n\n| field, flag, variable | default | meaning |\n|---|---|---|\n", title)
	for _, field := range fields {
		description, fallback := config.Usage(schema, field.Path)
		fmt.Fprintf(page, "| `%s`<br>`--%s`<br>`%s` | %s | %s |\n", field.Path, field.Flag, field.Env, fallback, description)
	}
	return nil
}
