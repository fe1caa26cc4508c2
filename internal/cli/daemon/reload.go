package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

// lookEvery is how often the settings file is looked at: it may change without
// a signal.
const lookEvery = clock.Second

// watchSettings reads the settings again at SIGHUP and when their file changes,
// until the context ends; the channel it returns closes then. Settings with
// faults change nothing: the process goes on with those that it has.
func (r *gatewayRun) watchSettings(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		defer close(done)
		defer signal.Stop(hangup)
		seen := r.fileState()
		for {
			look, stopLook := r.Clock.After(lookEvery)
			cause := "file"
			select {
			case <-ctx.Done():
				stopLook()
				return
			case <-hangup:
				stopLook()
				cause = "signal"
			case <-look:
				if r.fileState() == seen {
					continue
				}
			}
			seen = r.fileState()
			r.reload(cause)
		}
	}()
	return done
}

// fileState tells two contents of the settings file apart.
func (r *gatewayRun) fileState() string {
	raw, err := os.ReadFile(r.file)
	if err != nil {
		return "" // reported by the next reload
	}
	return string(raw)
}

func (r *gatewayRun) reload(cause string) {
	settings, err := r.readFunc()
	if err != nil {
		r.Log.Error("settings not usable, old ones stay", "cause", cause, logs.KeyError, err)
		return
	}
	r.gateway.SetBounds(bounds(settings))
	boundMemory(settings)
	r.Log.Info("settings reloaded", "cause", cause, "extraShare", settings.ExtraShare, "coldShare", settings.ColdShare)
}
