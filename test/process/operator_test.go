package process_test

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/pkg/classifier"
)

// operated is what an operator sees of one command.
type operated struct {
	out, err string
	code     classifier.Code
}

// operate runs a verb of the command line against a node, as an operator does.
func (f *fleet) operate(tb testing.TB, node int, args ...string) operated {
	tb.Helper()

	args = append(args, "--json", "--node", f.nodeSpecs[node].adminAddress)
	command := exec.CommandContext(tb.Context(), filepath.Join(programs, "quincepath"), args...)
	command.Env = append(os.Environ(), "QUINCEPATH_OPERATOR_KEY="+callerKey, "QUINCEPATH_AUTHOR=giulia")

	var out, failure bytes.Buffer

	command.Stdout, command.Stderr = &out, &failure

	// The exit code says all that the error would.
	_ = command.Run()

	return operated{out: out.String(), err: failure.String(), code: classifier.Code(command.ProcessState.ExitCode())}
}

// change runs a verb that changes the tree and returns the change, which must be applied.
func (f *fleet) change(tb testing.TB, node int, args ...string) administrator.Change {
	tb.Helper()

	done := f.operate(tb, node, args...)
	assert.Equal(tb, done.code, classifier.OK, "%v: %s", args, done.err)

	var change administrator.Change

	assert.NilError(tb, json.Unmarshal([]byte(done.out), &change), "%s", done.out)
	assert.Equal(tb, change.State, administrator.StateApplied)

	return change
}

// query runs a verb that reads and decodes its answer; it says whether the node answered.
func (f *fleet) query(tb testing.TB, node int, answer any, args ...string) bool {
	tb.Helper()

	done := f.operate(tb, node, args...)
	if done.code != classifier.OK {
		return false
	}

	assert.NilError(tb, json.Unmarshal([]byte(done.out), answer), "%s", done.out)

	return true
}

// revision is that of the tree in force on a node; negative while the node doesn't answer.
func (f *fleet) revision(tb testing.TB, node int) int64 {
	tb.Helper()

	var status administrator.NodeStatus
	if !f.query(tb, node, &status, "node", "status") {
		return -1
	}

	return status.Revision
}

// inForce waits until the nodes have the revision, or a newer one; without nodes it means all.
func (f *fleet) inForce(t *testing.T, revision int64, nodes ...int) {
	t.Helper()

	if nodes == nil {
		for i := range f.nodes {
			nodes = append(nodes, i)
		}
	}

	for _, i := range nodes {
		waitFor(t, "the revision on "+f.nodeSpecs[i].name, func() bool { return f.revision(t, i) >= revision })
	}
}

// putTree writes both services as new branches through the command line.
func (f *fleet) putTree(t *testing.T) administrator.Change {
	t.Helper()

	f.putBranch(t, engineBranch, f.engineBranch())

	return f.putBranch(t, plainBranch, f.plainBranch())
}

// Paths of the branches of the two services.
const (
	engineBranch = "sicilia-est/assistente"
	plainBranch  = "sicilia-est/banco"
)

func (f *fleet) putBranch(t *testing.T, path, text string) administrator.Change {
	t.Helper()

	file := filepath.Join(t.TempDir(), "branch.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))

	return f.change(t, 0, "tree", "edit", path, "--file", file, "--base", "0")
}
