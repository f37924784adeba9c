// Package claimer makes sure that a request that is not repeatable and carries
// an idempotency key runs at most once, whichever nodes receive it.
//
// Before such a request is sent, its claim is written to the platform's store.
// The key's hash selects one of Shards shards. A shard is a head key and a
// journal of segments; each write is one transaction that compares the head's
// revision, moves the head and appends to the newest segment. Every change of
// a shard moves its head, so a writer that has not read all of the window
// can't write, and the compare alone decides between two writers.
//
// A write whose reply was lost may take effect later. It compares the same head
// revision as its successor, so at most one of them takes effect; the
// successor's result shows which. Until then nothing else is decided.
//
// A claim whose run ended keeps its answer for Options.AnswerTime. After that a
// compaction packs it, with others, into a segment that replaces theirs: a few
// bytes that say that the key was used, with which body and how the run ended.
//
// A shard's time is kept without wall clocks. The head carries it; a writer adds
// the monotonic time since it saw the head. It therefore never runs faster than
// real time, whatever the nodes' clocks say, and only falls behind when no node
// watches the shard. A segment is removed when the segment after it was opened
// a window, plus one hundredth for drift, ago. A key is forgotten with the
// segment of its claim, so the window must exceed the longest run.
//
// After each of these steps the node may end:
//   - before the claim's write: nothing is recorded, nothing ran;
//   - after it, before the request is sent, or during the run, or before the
//     result's write: the claim stays without a result, and a caller that asks
//     again is told outcome_unknown;
//   - after the result's write: a caller that asks again gets the result.
package claimer
