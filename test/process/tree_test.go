package process_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/pkg/classifier"
)

// newTreeFleet starts nodes that get their services by the platform's tree alone, and puts the tree in.
func newTreeFleet(t *testing.T, nodes int) *fleet {
	t.Helper()

	return newTreeFleetOf(t, nodes, shape{})
}

// newTreeFleetOf does so for a fleet of the given shape.
func newTreeFleetOf(t *testing.T, nodes int, s shape) *fleet {
	t.Helper()

	s.emptyTree = true
	f := newFleetOf(t, nodes, s)
	f.inForce(t, f.putTree(t).Revision)

	return f
}

// history is what the verb tree history answers.
func (f *fleet) history(t *testing.T, path string) []administrator.Change {
	t.Helper()

	var changes []administrator.Change

	assert.Assert(t, f.query(t, 0, &changes, "tree", "history", path))

	return changes
}

// Symptom: an operator raises a limit, and some callers still meet the old one hours later.
// Events: two operators change one branch and then two branches at once, through different nodes.
// Cause: a node that was not told goes on with its copy; an editor that does not look overwrites the other's change.
func TestEditsReachAllNodes(t *testing.T) {
	t.Parallel()

	f := newTreeFleet(t, 9)
	made := f.change(t, 4, "tree", "set", engineBranch, "classes.owner_chat.target=3s")
	f.inForce(t, made.Revision)

	// Both start from the same revision of the branch; only one of them can land.
	base := fmt.Sprint(made.Revision)
	answers := f.atOnce(t,
		[]string{"tree", "edit", engineBranch, "--set", "classes.owner_chat.target=4s", "--base", base},
		[]string{"tree", "edit", engineBranch, "--set", "classes.owner_chat.target=5s", "--base", base})

	codes := map[classifier.Code]operated{answers[0].code: answers[0], answers[1].code: answers[1]}
	assert.Equal(t, len(codes), 2, "%+v", answers)

	refused, ok := codes[classifier.EditConflict]
	assert.Assert(t, ok, "%+v", answers)
	assert.Assert(t, strings.Contains(refused.err, "-") && strings.Contains(refused.err, "target: "), "no difference is shown: %s", refused.err)

	var landed administrator.Change

	assert.NilError(t, json.Unmarshal([]byte(codes[classifier.OK].out), &landed))
	f.inForce(t, landed.Revision)

	both := f.atOnce(t,
		[]string{"tree", "set", engineBranch, "classes.care_notes.target=90s"},
		[]string{"tree", "set", plainBranch, "classes.lookup.target=200ms"})
	assert.Equal(t, both[0].code, classifier.OK, both[0].err)
	assert.Equal(t, both[1].code, classifier.OK, both[1].err)
	assert.Equal(t, len(f.history(t, engineBranch)), 4)
	assert.Equal(t, len(f.history(t, plainBranch)), 2)

	// An edit that breaks a rule changes nothing anywhere.
	wrong := f.operate(t, 2, "tree", "set", plainBranch, "classes.lookup.tier=9")
	assert.Equal(t, wrong.code, classifier.SettingsInvalid, wrong.err)
	assert.Equal(t, len(f.history(t, plainBranch)), 2)
}

// atOnce runs two verbs at the same time through two nodes.
func (f *fleet) atOnce(t *testing.T, first, second []string) [2]operated {
	t.Helper()

	var (
		answers [2]operated
		group   sync.WaitGroup
	)

	group.Go(func() { answers[0] = f.operate(t, 0, first...) })
	group.Go(func() { answers[1] = f.operate(t, 1, second...) })
	group.Wait()

	return answers
}

// Symptom: an operator sees an error, tries again, and the history shows the change twice, or a conflict with oneself.
// Events: the platform applies the write of an edit, and its reply is lost.
// Cause: the writer can't tell a lost reply from a lost request; only the change's id in the store can.
func TestEditWithLostReplyIsSettled(t *testing.T) {
	t.Parallel()

	f := newTreeFleet(t, 2)
	switchOn(t, f.platform, map[string]any{"lose_replies": 1})

	change := f.change(t, 1, "tree", "set", plainBranch, "classes.lookup.target=250ms", "--change-id", "raise-the-target")
	f.inForce(t, change.Revision)

	made := f.history(t, plainBranch)
	assert.Equal(t, len(made), 2, "%+v", made)
	assert.Equal(t, made[0].ID, "raise-the-target")

	// The same edit again, through another node, is the same change.
	base := fmt.Sprint(made[1].Revision)
	again := f.change(t, 0, "tree", "edit", plainBranch, "--set", "classes.lookup.target=250ms", "--base", base, "--change-id", "raise-the-target")
	assert.Equal(t, again.Revision, change.Revision)
	assert.Equal(t, len(f.history(t, plainBranch)), 2)
}

// Symptom: after an outage of the platform some nodes serve by yesterday's settings.
// Events: a change is in force; the platform goes down; edits are tried; a node is killed and started; the platform returns.
// Cause: a node that starts without the platform knows only its settings file, unless it asks its peers for the newest tree.
func TestTreeSurvivesPlatformOutage(t *testing.T) {
	t.Parallel()

	f := newTreeFleet(t, 4)
	before := f.change(t, 0, "tree", "set", plainBranch, "classes.lookup.target=310ms")
	f.inForce(t, before.Revision)

	watched := f.watchRevisions(t, before.Revision)

	switchOn(t, f.platform, map[string]any{"outage": true})

	refused := f.operate(t, 1, "tree", "set", plainBranch, "classes.lookup.target=320ms")
	assert.Equal(t, refused.code, classifier.PlatformUnavailable, refused.err)

	f.nodes[2].kill()
	f.nodes[2] = f.startNode(t, 2)
	f.inForce(t, before.Revision, 2)
	call(t, http.MethodPost, "http://"+f.nodes[2].address+"/services/banco/price", map[string]int{}, nil)

	switchOn(t, f.platform, map[string]any{"outage": false})

	var after administrator.Change

	waitFor(t, "an edit after the outage", func() bool {
		done := f.operate(t, 1, "tree", "set", plainBranch, "classes.lookup.target=330ms", "--change-id", "after-the-outage")

		return done.code == classifier.OK && json.Unmarshal([]byte(done.out), &after) == nil
	})
	f.inForce(t, after.Revision)

	for _, problem := range watched() {
		t.Error(problem)
	}
}

// watchRevisions looks at all nodes until the returned function is called, which
// tells where a node showed an older revision than before, or one below the floor.
// A node that has no tree yet shows 0 and refuses all requests.
func (f *fleet) watchRevisions(t *testing.T, floor int64) func() []string {
	t.Helper()

	var (
		group    sync.WaitGroup
		mu       sync.Mutex
		problems []string
	)

	stop := make(chan struct{})

	for _, spec := range f.nodeSpecs {
		group.Go(func() {
			newest := floor

			for !isClosed(stop) {
				status, ok := readStatus(t, spec.adminAddress)
				revision := status.Revision

				if ok && revision != 0 && revision < newest {
					mu.Lock()
					problems = append(problems, fmt.Sprintf("%s went from revision %d to %d", spec.name, newest, revision))
					mu.Unlock()
				}

				newest = max(newest, revision)

				time.Sleep(5 * time.Millisecond)
			}
		})
	}

	return func() []string {
		close(stop)
		group.Wait()

		return problems
	}
}

// readStatus asks a node for its status without a process of its own, so that many calls fit.
func readStatus(t *testing.T, admin string) (administrator.NodeStatus, bool) {
	t.Helper()

	var status administrator.NodeStatus

	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+admin+"/v1/node/status", http.NoBody)
	if err != nil {
		return status, false
	}

	request.Header.Set("Authorization", "Bearer "+callerKey)

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, false
	}
	defer response.Body.Close()

	return status, json.NewDecoder(response.Body).Decode(&status) == nil
}

// Symptom: an operator runs a command again with its change id, as the program advised, and hears that the id belongs to another change.
// Events: tree set is applied and its answer is lost; the operator runs the same command with the same id.
// Cause: the second run starts from the branch as the first one left it, so its base differs although it asks for the same.
func TestRepeatedSetIsTheSameChange(t *testing.T) {
	t.Parallel()

	f := newTreeFleet(t, 2)
	command := []string{"tree", "set", plainBranch, "classes.lookup.target=250ms", "--change-id", "raise-the-target"}

	first := f.change(t, 0, command...)
	again := f.change(t, 1, command...)

	assert.Equal(t, again.Revision, first.Revision)
	assert.Equal(t, len(f.history(t, plainBranch)), 2)
}
