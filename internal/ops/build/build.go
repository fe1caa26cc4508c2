// Package build returns the version of the running jujubescale program.
package build

import "runtime/debug"

const (
	unknown        = "unknown"
	revisionKey    = "vcs.revision"
	modifiedKey    = "vcs.modified"
	revisionLength = 12
)

// Version returns the module version that the Go toolchain recorded in the
// binary. Without one, it returns the source revision, with "+changed" if the
// source had uncommitted changes, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	if info.Main.Version != "" && info.Main.Version != "(devel)" {
		return info.Main.Version
	}
	return revision(info.Settings)
}

func revision(settings []debug.BuildSetting) string {
	found, changed := unknown, ""
	for _, setting := range settings {
		switch {
		case setting.Key == revisionKey:
			found = setting.Value[:min(len(setting.Value), revisionLength)]
		case setting.Key == modifiedKey && setting.Value == "true":
			changed = "+changed"
		}
	}
	return found + changed
}
