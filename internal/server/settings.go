package server

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/drainer"
	"quincepath.example/quincepath/pkg/classifier"
)

// settingsView is one settings snapshot with what requests look up in it. It is immutable.
type settingsView struct {
	snapshot configurer.Snapshot
	keys     *keyIndex
}

// settingsHolder gives the settings in force. It is safe for concurrent use.
type settingsHolder struct {
	leaving *drainer.LeavingUpstreams
	view    atomic.Pointer[settingsView]

	// mu makes changes follow each other.
	mu sync.Mutex
	// tree is the snapshot without the marks of other sources.
	tree configurer.Snapshot
}

func newSettingsHolder(snapshot configurer.Snapshot, leaving *drainer.LeavingUpstreams) *settingsHolder {
	h := &settingsHolder{leaving: leaving}
	h.set(snapshot)

	return h
}

// set puts a snapshot in force and returns the one before.
func (h *settingsHolder) set(snapshot configurer.Snapshot) configurer.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()

	before := h.tree
	h.tree = snapshot
	h.publish()

	return before
}

// refresh puts changed marks of leaving upstreams in force.
func (h *settingsHolder) refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.publish()
}

func (h *settingsHolder) publish() {
	snapshot := withLeaving(h.tree, h.leaving)

	var keys *keyIndex
	if before := h.view.Load(); before != nil {
		keys = before.keys
	}

	h.view.Store(&settingsView{snapshot: snapshot, keys: keys.of(snapshot)})
}

// Snapshot returns the settings in force.
func (h *settingsHolder) Snapshot() configurer.Snapshot {
	return h.view.Load().snapshot
}

// authenticate returns the name of the organisation that the request's bearer key belongs to.
func (h *settingsHolder) authenticate(r *http.Request) (string, *classifier.Error) {
	view := h.view.Load()
	if len(view.snapshot.Services) == 0 {
		return "", classifier.New(classifier.SettingsUnavailable, "the node has no settings tree yet").After(failureRetryAfter)
	}

	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", classifier.New(classifier.Unauthenticated, "send a bearer key in the Authorization header")
	}

	// Only hashes are compared, so the time of the look-up tells nothing about a key.
	sum := sha256.Sum256([]byte(key))

	name, ok := view.keys.organisations[hex.EncodeToString(sum[:])]
	if !ok {
		return "", classifier.New(classifier.Unauthenticated, "the bearer key belongs to no organisation")
	}

	return name, nil
}
