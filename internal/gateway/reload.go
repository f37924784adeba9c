package gateway

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"quincepath.example/quincepath/internal/loader"
)

// reloadInterval is the time between two checks of the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// fileState is used to detect whether a file has changed.
type fileState struct {
	modified time.Time
	bytes    int64
}

func statFile(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		// A file that is being replaced may be missing for a moment; the next check finds it.
		return fileState{}
	}

	return fileState{modified: info.ModTime(), bytes: info.Size()}
}

// watchReload reloads the settings on SIGHUP and when their file has changed, until ctx is cancelled.
func (n *Node) watchReload(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)

	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()

	// The file may have changed since it was read at startup, so the first check always reloads it.
	var lastState fileState

	for {
		select {
		case <-signals:
			lastState = statFile(n.settings.Path)
			n.reload("signal")
		case <-ticker.C:
			if state := statFile(n.settings.Path); state != lastState && state != (fileState{}) {
				lastState = state
				n.reload("file_changed")
			}
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the settings file and applies the settings that can change at runtime. If the file is invalid, the
// current settings stay in force.
func (n *Node) reload(trigger string) {
	if n.settings.Path == "" {
		return
	}

	loaded, err := loader.Load(n.settings.Path)
	if err != nil {
		n.logger.Error().Err(err).Str("trigger", trigger).Str("file", n.settings.Path).Msg("settings_rejected")

		return
	}

	previous := n.current.Load()
	next := applyReloadable(*previous, loaded)
	n.current.Store(&next)
	n.acceptor.Refresh()
	n.budget.SetBounds(next.Gateway.RetryRatio, next.Gateway.RetryExtra)

	n.logger.Info().
		Str("trigger", trigger).
		Str("file", n.settings.Path).
		Bool("changed", !reflect.DeepEqual(next, *previous)).
		Bool("needs_restart", !reflect.DeepEqual(next, loaded)).
		Msg("settings_reloaded")
}

// applyReloadable returns settings with the values from loaded that can change at runtime. Changes of addresses, of the
// node's name, of its credential and of the VM's size require a restart.
func applyReloadable(settings, loaded loader.Settings) loader.Settings {
	settings.Node.HeaderTimeout = loaded.Node.HeaderTimeout
	settings.Node.DrainTimeout = loaded.Node.DrainTimeout
	settings.Node.EntryLifetime = loaded.Node.EntryLifetime
	settings.Gateway.Seeds = loaded.Gateway.Seeds
	settings.Gateway.KeyLifetime = loaded.Gateway.KeyLifetime
	settings.Gateway.RetryRatio = loaded.Gateway.RetryRatio
	settings.Gateway.RetryExtra = loaded.Gateway.RetryExtra
	settings.Gateway.Duties.OrderUpstreams = loaded.Gateway.Duties.OrderUpstreams
	settings.Gateway.Duties.RegularUpstreams = loaded.Gateway.Duties.RegularUpstreams
	settings.Gateway.Duties.MostPart = loaded.Gateway.Duties.MostPart
	settings.Gateway.Duties.LeastPart = loaded.Gateway.Duties.LeastPart
	settings.Gateway.Duties.OrderByNeed = loaded.Gateway.Duties.OrderByNeed

	return settings
}

// maxKeyAge returns the maximum age of the configuration at which API keys are accepted.
func (n *Node) maxKeyAge() time.Duration {
	return time.Duration(float64(n.current.Load().Gateway.KeyLifetime) * maxKeyAgeFraction)
}
