package layer_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/layer"
)

type tls struct {
	CertFile string `json:"certFile"`
}

type common struct {
	Process string `json:"process"`
}

type settings struct {
	common
	MaxOpen int      `json:"maxOpen"`
	Plain   bool     `json:"plain"`
	Names   []string `json:"names"`
	TLS     tls      `json:"callersTls"`
}

func TestPrecedenceOfSources(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"maxOpen": 1, "plain": true, "callersTls": {"certFile": "file"}}`), 0o600))
	got, err := layer.Load[settings](layer.Sources{
		File:  file,
		Env:   []string{"JUJUBESCALE_MAX_OPEN=2", "JUJUBESCALE_CALLERS_TLS_CERT_FILE=env", "JUJUBESCALE_CONFIG=x", "HOME=/"},
		Flags: []layer.Value{{Flag: "max-open", Text: "3"}, {Flag: "names", Text: "a,b"}},
	}, nil)
	assert.NilError(t, err)
	assert.Equal(t, got.MaxOpen, 3)
	assert.Equal(t, got.TLS.CertFile, "env")
	assert.Assert(t, got.Plain)
	assert.DeepEqual(t, got.Names, []string{"a", "b"})
}

func TestFaultsOfEnvironmentAndFlags(t *testing.T) {
	_, err := layer.Load[settings](layer.Sources{
		Env:   []string{"JUJUBESCALE_MAX_OPN=2", "JUJUBESCALE_PLAIN=maybe"},
		Flags: []layer.Value{{Flag: "max-open", Text: "many"}},
	}, nil)
	var list *fault.InvalidListError
	assert.Assert(t, errors.As(err, &list))
	assert.Equal(t, len(list.Faults), 3)
	assert.Assert(t, strings.Contains(list.Faults[0].Allowed, "JUJUBESCALE_MAX_OPEN"))
}

func TestUnknownFieldOfFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"maxopen": 1}`), 0o600))
	_, err := layer.Load[settings](layer.Sources{File: file}, nil)
	assert.ErrorContains(t, err, `the nearest is "maxOpen"`)
}
