package distributor

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/internal/storer"
)

// watchersPerDomain is the number of nodes of a failure domain that watch the store: one may fail unnoticed.
const watchersPerDomain = 2

var (
	errWatchEnded = errors.New("the watch ended")
	errSilent     = errors.New("the watch is silent although the tree has changed")
)

// Watchers names the watchers of a node's failure domain, the same first for all
// nodes with the same view of the members. With unlike views there are a few more
// watchers or, until the views meet, fewer. They read what else all nodes need of the platform, too.
func Watchers(self Member, live []Member) []string {
	names := []string{self.Name}

	for _, v := range live {
		if v.FailureDomain == self.FailureDomain && v.Name != self.Name {
			names = append(names, v.Name)
		}
	}

	return chooser.New(names).ChooseN("tree-watcher/"+self.FailureDomain, watchersPerDomain)
}

// isWatcher reports whether this node is one of its failure domain's watchers.
func isWatcher(self Member, live []Member) bool {
	return slices.Contains(Watchers(self, live), self.Name)
}

// keepRole watches the store for as long as this node is a watcher. The role is kept a few
// seconds longer than it is held, so that a member that comes and goes starts no watches.
func (d *Distributor) keepRole(ctx context.Context) {
	if d.options.Store == nil {
		return
	}

	select {
	case <-d.ready:
	case <-ctx.Done():
		return
	}

	for ctx.Err() == nil {
		if isWatcher(d.options.Self, d.options.Members.Live()) {
			d.watchWhileChosen(ctx)
		}

		sleeper.Sleep(ctx, roleInterval)
	}
}

func (d *Distributor) watchWhileChosen(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})

	go func() {
		defer close(done)
		d.watch(ctx)
	}()

	d.counters.watching.Store(1)
	defer func() {
		cancel()
		<-done
		d.counters.watching.Store(0)
	}()

	lost := time.Now()

	for sleeper.Sleep(ctx, roleInterval) {
		if isWatcher(d.options.Self, d.options.Members.Live()) {
			lost = time.Now()
		}

		if time.Since(lost) >= roleGrace {
			return
		}
	}
}

// watch opens watches one after the other until ctx ends.
func (d *Distributor) watch(ctx context.Context) {
	pause := newPause(longestStorePause)
	list := false

	for ctx.Err() == nil {
		w := watchRun{distributor: d, seen: d.table.Load().revision, list: list, progress: pause.Reset}
		err := w.run(ctx)

		// After any failure but the plain end of a stream the tree is read anew: the
		// watch may have lost events, or the store may have forgotten them.
		list = !errors.Is(err, errWatchEnded)

		if !sleeper.Sleep(ctx, pause.NextBackOff()) {
			return
		}
	}
}

// watchRun is one watch from its opening to its end.
type watchRun struct {
	distributor *Distributor
	// seen is the revision up to which this very watch, or the list before it, has told all changes.
	// It is not the node's revision: peers may keep the node up to date while its watch is dead.
	seen int64
	// list says to read the tree before the watch is opened.
	list     bool
	progress func()
	// missing is a head seen in the store that the watch hasn't told yet; 0 when there is none.
	missing int64
}

func (w *watchRun) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	d := w.distributor

	if w.list {
		if err := w.read(ctx); err != nil {
			return err
		}
	}

	d.counters.storeCalls.Add(1)

	events, err := d.options.Store.Watch(ctx, configurer.BranchPrefix, w.seen+1)
	if err != nil {
		d.counters.storeFailures.Add(1)
		return err
	}

	return w.follow(ctx, events)
}

func (w *watchRun) read(ctx context.Context) error {
	tree, err := w.distributor.readStore(ctx)
	if err != nil {
		return err
	}

	w.distributor.apply(fullUpdate(tree), "store")
	w.seen = max(w.seen, tree.Revision)

	return nil
}

// follow applies what the watch tells and compares it with the head now and then. A watch
// whose stream was lost on the way looks like one without changes; only a look by another way shows it.
func (w *watchRun) follow(ctx context.Context, events <-chan storer.WatchEvents) error {
	heads := make(chan int64)

	go w.pollHead(ctx, heads)

	grace := time.NewTimer(time.Hour)
	defer grace.Stop()

	for {
		select {
		case message, ok := <-events:
			if !ok {
				return errWatchEnded
			}

			if message.Err != nil {
				return message.Err
			}

			w.progress()
			w.take(message)
		case head := <-heads:
			if head > w.seen && w.missing == 0 {
				w.missing = head
				grace.Reset(silenceGrace)
			}
		case <-grace.C:
			if w.seen < w.missing {
				w.distributor.counters.silentWatches.Add(1)
				return errSilent
			}

			w.missing = 0
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (w *watchRun) take(message storer.WatchEvents) {
	u := update{FromRevision: w.seen}

	for _, v := range message.Events {
		path := strings.TrimPrefix(v.KeyValue.Key, configurer.BranchPrefix)
		u.Revision = v.KeyValue.ModRevision

		if v.Kind == storer.EventDelete {
			u.Deleted = append(u.Deleted, deletion{Path: path, Revision: v.KeyValue.ModRevision})
			continue
		}

		u.Branches = append(u.Branches, updateBranch{Path: path, Value: string(v.KeyValue.Value), Revision: v.KeyValue.ModRevision})
	}

	if len(message.Events) == 0 {
		return
	}

	w.distributor.apply(u, "watch")
	w.seen = u.Revision
}

// pollHead sends the head's revision about every two seconds until ctx ends.
func (w *watchRun) pollHead(ctx context.Context, heads chan<- int64) {
	d := w.distributor

	for sleeper.Sleep(ctx, d.jitter(pollInterval)) {
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		head, _, err := d.options.Store.Get(limited, configurer.HeadKey)

		cancel()
		d.counters.storeCalls.Add(1)

		if err != nil {
			d.counters.storeFailures.Add(1)
			continue
		}

		select {
		case heads <- head.ModRevision:
		case <-ctx.Done():
		}
	}
}
