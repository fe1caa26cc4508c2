package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

// pollInterval is the time between two checks of the settings file, which may
// change without a signal.
const pollInterval = clock.Second

// CatchReloads returns a channel that gets a SIGHUP. From then on the signal doesn't end the process, also while it
// starts or stops.
func CatchReloads() <-chan os.Signal {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return hangup
}

// watchSettings reloads the settings at a signal and when their file changes. It
// stops when the context ends, and then closes the channel that it returns.
// Invalid settings are logged and ignored; the old ones stay in force.
func (r *gatewayRun) watchSettings(ctx context.Context, hangup <-chan os.Signal) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		loaded := r.fileContent()
		for {
			poll, stopPoll := r.Clock.After(pollInterval)
			cause := "file"
			select {
			case <-ctx.Done():
				stopPoll()
				return
			case <-hangup:
				stopPoll()
				cause = "signal"
			case <-poll:
				if r.fileContent() == loaded {
					continue
				}
			}
			loaded = r.fileContent()
			r.reload(cause)
		}
	}()
	return done
}

// fileContent returns the content of the settings file, or an empty string if it
// can't be read.
func (r *gatewayRun) fileContent() string {
	raw, err := os.ReadFile(r.file)
	if err != nil {
		return "" // the next reload logs the error
	}
	return string(raw)
}

func (r *gatewayRun) reload(cause string) {
	settings, err := r.readFunc()
	if err != nil {
		r.Log.Error("can't load the settings; the old ones stay in force", "cause", cause, logs.KeyError, err)
		return
	}
	r.gateway.SetBounds(bounds(settings))
	limitMemory(settings)
	r.Log.Info("settings reloaded", "cause", cause, "extraShare", settings.ExtraShare, "coldShare", settings.ColdShare)
}
