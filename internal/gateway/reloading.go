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

// reloadInterval is the time between two looks at the settings file. It may change without a signal.
const reloadInterval = 2 * time.Second

// fileState tells whether a file was written since.
type fileState struct {
	modified time.Time
	bytes    int64
}

func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		// A file that is being replaced may be away for a moment; the next look finds it.
		return fileState{}
	}

	return fileState{modified: info.ModTime(), bytes: info.Size()}
}

// watchReload reads the settings again on SIGHUP and when their file has changed, until ctx ends.
func (n *Node) watchReload(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)

	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()

	// The file may have changed since the start read it, so the first look reads it again.
	var known fileState

	for {
		select {
		case <-signals:
			known = stateOf(n.settings.Path)
			n.reload("signal")
		case <-ticker.C:
			if found := stateOf(n.settings.Path); found != known && found != (fileState{}) {
				known = found
				n.reload("file_changed")
			}
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the settings file and puts in force what can change while the node runs. A file with an error
// changes nothing: the node goes on with what it has.
func (n *Node) reload(trigger string) {
	if n.settings.Path == "" {
		return
	}

	loaded, err := loader.Load(n.settings.Path)
	if err != nil {
		n.logger.Error().Err(err).Str("trigger", trigger).Str("file", n.settings.Path).Msg("settings_rejected")

		return
	}

	former := n.current.Load()
	next := adopt(*former, loaded)
	n.current.Store(&next)
	n.budget.SetBounds(next.Gateway.RetryRatio, next.Gateway.RetryExtra)

	n.logger.Info().
		Str("trigger", trigger).
		Str("file", n.settings.Path).
		Bool("changed", !reflect.DeepEqual(next, *former)).
		Bool("needs_restart", !reflect.DeepEqual(next, loaded)).
		Msg("settings_reloaded")
}

// adopt returns the settings with those of the loaded ones that can change while the node runs. Addresses, the
// node's name, its credential and the VM's size need a restart.
func adopt(settings, loaded loader.Settings) loader.Settings {
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

	return settings
}

// keyFreshness is the age of what is known of keys up to which they are honoured.
func (n *Node) keyFreshness() time.Duration {
	return time.Duration(float64(n.current.Load().Gateway.KeyLifetime) * keyMargin)
}
