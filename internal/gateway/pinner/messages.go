package pinner

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Methods of the messages between nodes.
const (
	// MethodRecord sends records to a holder.
	MethodRecord = "stream.record"
	// MethodFind asks a node for a record.
	MethodFind = "stream.find"
	// MethodArchive sends records to the node that writes the archive, MethodFindArchived asks a node to search it.
	MethodArchive      = "stream.archive"
	MethodFindArchived = "stream.find_archived"
)

var errInvalidKey = errors.New("the key of a stream must have 16 bytes")

// recordParams and the types below are the messages between nodes. Their JSON keys are short because of the volume.
type recordParams struct {
	// Origins are those of the records, each of which names one by its index.
	Origins []originParams `json:"o"`
	Records []recordEntry  `json:"r"`
}

type originParams struct {
	Service         string `json:"s"`
	SoftwareVersion string `json:"v"`
}

type recordEntry struct {
	Key string `json:"k"`
	// Origin is the index of the origin; negative if several streams had the same ID.
	Origin int `json:"o"`
	// KeepS is for how many more seconds the record is kept.
	KeepS int `json:"t"`
	// IsNeeded is that of the Entry.
	IsNeeded bool `json:"n,omitempty"`
}

type findParams struct {
	Key string `json:"k"`
}

type findResult struct {
	// Known is true if the node has a record of the stream. Origin is nil if several streams had the same ID.
	Known  bool          `json:"f,omitempty"`
	Origin *originParams `json:"o,omitempty"`
}

func encodeKey(key Key) string {
	return base64.RawURLEncoding.EncodeToString(key[:])
}

func decodeKey(text string) (Key, error) {
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) != len(Key{}) {
		return Key{}, errInvalidKey
	}

	return Key(data), nil
}

// sendRecords sends records to a holder. A holder that can't be reached gets none: others have them, and one that comes back
// is a new holder to these.
func (p *Pinner) sendRecords(ctx context.Context, node string, entries []Entry) {
	if err := p.options.Peers.Notify(ctx, node, MethodRecord, newRecordParams(entries)); err != nil {
		p.options.Logger.Debug().Err(err).Str("peer", node).Int("records", len(entries)).Msg("stream_records_not_sent")
	}
}

func newRecordParams(entries []Entry) recordParams {
	params := recordParams{Records: make([]recordEntry, 0, len(entries))}
	indexes := make(map[Origin]int)

	for _, entry := range entries {
		index := -1

		if entry.Origin != nil {
			known, ok := indexes[*entry.Origin]
			if !ok {
				known = len(params.Origins)
				indexes[*entry.Origin] = known
				params.Origins = append(params.Origins, originParams(*entry.Origin))
			}

			index = known
		}

		params.Records = append(params.Records, recordEntry{
			Key: encodeKey(entry.Key), Origin: index, KeepS: int(entry.Keep / time.Second), IsNeeded: entry.IsNeeded,
		})
	}

	return params
}

func decodeRecords(params json.RawMessage) ([]Entry, error) {
	var batch recordParams
	if err := json.Unmarshal(params, &batch); err != nil {
		return nil, err
	}

	origins := make([]*Origin, 0, len(batch.Origins))
	for _, origin := range batch.Origins {
		known := Origin(origin)
		origins = append(origins, &known)
	}

	entries := make([]Entry, 0, len(batch.Records))

	for _, received := range batch.Records {
		key, err := decodeKey(received.Key)
		if err != nil {
			return nil, err
		}

		entry := Entry{Key: key, Keep: min(time.Duration(received.KeepS)*time.Second, maxRetention), IsNeeded: received.IsNeeded}
		if received.Origin >= 0 && received.Origin < len(origins) && origins[received.Origin].IsKnown() {
			entry.Origin = origins[received.Origin]
		}

		entries = append(entries, entry)
	}

	return entries, nil
}

// HandleRecord handles MethodRecord.
func (p *Pinner) HandleRecord(_ context.Context, _ string, params json.RawMessage) (any, error) {
	entries, err := decodeRecords(params)
	if err != nil {
		return nil, err
	}

	now := p.options.Now()

	p.mu.Lock()
	defer p.mu.Unlock()

	for _, entry := range entries {
		p.put(entry.Key, entry.Origin, now+entry.Keep)
		p.counters.received.Add(1)
	}

	return struct{}{}, nil
}

func decodeFind(params json.RawMessage) (Key, error) {
	var request findParams
	if err := json.Unmarshal(params, &request); err != nil {
		return Key{}, err
	}

	return decodeKey(request.Key)
}

// HandleFind handles MethodFind.
func (p *Pinner) HandleFind(_ context.Context, _ string, params json.RawMessage) (any, error) {
	key, err := decodeFind(params)
	if err != nil {
		return nil, err
	}

	known, ok := p.get(key)
	result := findResult{Known: ok}

	if known.origin != nil {
		origin := originParams(*known.origin)
		result.Origin = &origin
	}

	return result, nil
}
