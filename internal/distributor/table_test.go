package distributor

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Symptom: two nodes at one revision hold unlike trees.
// Sequence: branches are written, deleted and written again while deltas and full trees of
// any age pass between nodes, are delayed and arrive out of order.
// Cause: a delta over a gap, a deletion that is forgotten or one that overtakes a later write.
func TestTablesAtOneRevisionAreEqual(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		truth := []map[string]string{{}}
		tables := []*table{newTable(), newTable(), newTable(), newTable()}
		var delayed []update

		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, 3).Draw(rt, "node")
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				u := write(rt, &truth)
				tables[0], _ = tables[0].apply(u)
			case 1:
				from := tables[rapid.IntRange(0, 3).Draw(rt, "peer")]
				delayed = append(delayed, from.since(tables[i].revision))
			case 2:
				if len(delayed) > 0 {
					u := rapid.SampledFrom(delayed).Draw(rt, "update")
					tables[i] = applied(rt, tables[i], u)
				}
			case 3:
				from := tables[rapid.IntRange(0, 3).Draw(rt, "peer")]
				if from.revision > 0 {
					tables[i] = applied(rt, tables[i], from.since(-1))
				}
			}
			for _, v := range tables {
				compare(rt, v, truth[v.revision])
			}
		}
	})
}

// Symptom: a deleted branch lives on, on some nodes.
// Sequence: a node starts with a full tree, after the deletion; one that missed the deletion pulls a delta from it.
// Cause: the starting node can't know what was deleted before its full tree, and answers with a delta all the same.
func TestDeltaFromANodeThatStartedAfterADeletion(t *testing.T) {
	fresh, _ := newTable().apply(update{Revision: 5, Full: true})
	behind, _ := newTable().apply(update{Revision: 2, Full: true, Branches: []updateBranch{{Path: "gone", Revision: 2}}})

	next, newer := behind.apply(fresh.since(behind.revision))
	assert.Assert(t, newer)
	assert.Equal(t, len(next.branches), 0)
}

// Symptom: a branch's text is mixed from two versions.
// Sequence: a node at revision 2 asks one that went from 1 to 3 without seeing 2.
// Cause: the lines changed from 1 to 3 are put into the text of 2.
func TestLinesForAnotherTextAreRefused(t *testing.T) {
	stay := strings.Repeat("a line that stays\n", 20)
	at := func(revision int64, text string) update {
		return update{Revision: revision, FromRevision: revision - 1, Branches: []updateBranch{{Path: "a", Value: text, Revision: revision}}}
	}
	start := at(1, stay+"one\n")
	start.Full = true
	common, _ := newTable().apply(start)
	behind, _ := common.apply(at(2, "two\n"+stay+"one\n"))
	jump := at(3, stay+"three\n")
	jump.FromRevision = 1
	ahead, _ := common.apply(jump)

	refused, newer := behind.apply(ahead.since(2))
	assert.Assert(t, !newer)
	assert.Equal(t, refused, behind)
	next, newer := behind.apply(ahead.since(0))
	assert.Assert(t, newer)
	assert.Equal(t, string(next.branches["a"].Value), stay+"three\n")
}

func applied(rt *rapid.T, to *table, u update) *table {
	next, newer := to.apply(u)
	if newer != (next.revision > to.revision) || next.revision < to.revision {
		rt.Fatalf("from revision %d to %d, newer %v", to.revision, next.revision, newer)
	}

	return next
}

// write changes the truth by one revision and returns the watch's update.
func write(rt *rapid.T, truth *[]map[string]string) update {
	revision := int64(len(*truth))
	path := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "path")
	next := map[string]string{}
	for k, v := range (*truth)[revision-1] {
		next[k] = v
	}
	u := update{Revision: revision, FromRevision: revision - 1}
	if _, exists := next[path]; exists && rapid.Bool().Draw(rt, "delete") {
		delete(next, path)
		u.Deleted = []deletion{{Path: path, Revision: revision}}
	} else {
		next[path] = text(rt, next[path], revision)
		u.Branches = []updateBranch{{Path: path, Value: next[path], Revision: revision}}
	}
	*truth = append(*truth, next)

	return u
}

// text changes, adds or removes a line of a text that is long enough to be sent by lines.
func text(rt *rapid.T, before string, revision int64) string {
	if before == "" {
		before = strings.Repeat("a line that stays\n", 20)
	}
	all := strings.SplitAfter(before, "\n")
	at := rapid.IntRange(0, len(all)-1).Draw(rt, "line")
	count := rapid.IntRange(0, 1).Draw(rt, "removed")

	return strings.Join(all[:at], "") + fmt.Sprintf("line %d\n", revision) + strings.Join(all[at+count:], "")
}

func compare(rt *rapid.T, held *table, want map[string]string) {
	got := map[string]string{}
	for k, v := range held.branches {
		got[k] = string(v.Value)
	}
	assert.DeepEqual(rt, got, want)
}
