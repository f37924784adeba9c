package connector

import "quincepath.example/quincepath/internal/storer"

// The wire types of the client's side. They resemble those of the platform's
// stand-in and stay apart from them on purpose: were the types shared, a field
// with a wrong name would be written and read under that name on both sides, and
// all tests would pass until the real platform ignored the field. With two
// spellings of the mapping, TestPlatforms_AnswerAlike fails instead. The rules differ as well:
// the client writes numbers as strings and leaves out what is zero; the stand-in
// takes every form that the mapping allows.

type wireHeader struct {
	Revision int64 `json:"revision,string"`
}

type wireKeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Version        int64  `json:"version,string"`
	Lease          int64  `json:"lease,string"`
}

func (k wireKeyValue) keyValue() storer.KeyValue {
	return storer.KeyValue{
		Key:            string(k.Key),
		Value:          k.Value,
		CreateRevision: k.CreateRevision,
		ModRevision:    k.ModRevision,
		Version:        k.Version,
		Lease:          k.Lease,
	}
}

type wireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
	Revision int64  `json:"revision,string,omitempty"`
}

type wirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

type wireDelete struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type wireCompare struct {
	Key            []byte          `json:"key"`
	Target         storer.Target   `json:"target"`
	Result         storer.Relation `json:"result"`
	Version        *int64          `json:"version,string,omitempty"`
	CreateRevision *int64          `json:"create_revision,string,omitempty"`
	ModRevision    *int64          `json:"mod_revision,string,omitempty"`
	Value          *[]byte         `json:"value,omitempty"`
}

func toCompare(c storer.Compare) wireCompare {
	made := wireCompare{Key: []byte(c.Key), Target: c.Target, Result: c.Relation}
	if made.Result == "" {
		made.Result = storer.RelationEqual
	}
	switch c.Target {
	case storer.TargetCreate:
		made.CreateRevision = &c.Number
	case storer.TargetMod:
		made.ModRevision = &c.Number
	case storer.TargetValue:
		value := append([]byte{}, c.Value...)
		made.Value = &value
	default:
		made.Target = storer.TargetVersion
		made.Version = &c.Number
	}

	return made
}

type wireOp struct {
	Put    *wirePut    `json:"request_put,omitempty"`
	Range  *wireRange  `json:"request_range,omitempty"`
	Delete *wireDelete `json:"request_delete_range,omitempty"`
}

func toOps(ops []storer.Op) []wireOp {
	made := make([]wireOp, 0, len(ops))
	for _, o := range ops {
		var w wireOp
		switch o.Kind {
		case storer.OpPut:
			w.Put = &wirePut{Key: []byte(o.Key), Value: o.Value, Lease: o.Lease}
		case storer.OpDelete:
			w.Delete = &wireDelete{Key: []byte(o.Key), RangeEnd: []byte(o.RangeEnd)}
		default:
			w.Range = &wireRange{Key: []byte(o.Key), RangeEnd: []byte(o.RangeEnd), Limit: o.Limit}
		}
		made = append(made, w)
	}

	return made
}

type wireTxn struct {
	Compare []wireCompare `json:"compare,omitempty"`
	Success []wireOp      `json:"success,omitempty"`
	Failure []wireOp      `json:"failure,omitempty"`
}

func toTxn(t storer.Txn) wireTxn {
	made := wireTxn{Success: toOps(t.Success), Failure: toOps(t.Failure)}
	for _, c := range t.Compares {
		made.Compare = append(made.Compare, toCompare(c))
	}

	return made
}

type wireRangeReply struct {
	Header wireHeader     `json:"header"`
	KVs    []wireKeyValue `json:"kvs"`
	More   bool           `json:"more"`
	Count  int64          `json:"count,string"`
}

func (r wireRangeReply) keyValues() []storer.KeyValue {
	found := make([]storer.KeyValue, 0, len(r.KVs))
	for _, kv := range r.KVs {
		found = append(found, kv.keyValue())
	}

	return found
}

type wireDeleteReply struct {
	Deleted int64 `json:"deleted,string"`
}

type wirePutReply struct {
	Header wireHeader `json:"header"`
}

type wireOpReply struct {
	Range  *wireRangeReply  `json:"response_range"`
	Put    *wirePutReply    `json:"response_put"`
	Delete *wireDeleteReply `json:"response_delete_range"`
}

type wireTxnReply struct {
	Header    wireHeader    `json:"header"`
	Succeeded bool          `json:"succeeded"`
	Responses []wireOpReply `json:"responses"`
}

func (t wireTxnReply) result() storer.TxnResult {
	made := storer.TxnResult{Succeeded: t.Succeeded, Revision: t.Header.Revision}
	for _, r := range t.Responses {
		result := storer.OpResult{Kind: storer.OpPut}
		switch {
		case r.Range != nil:
			result = storer.OpResult{Kind: storer.OpRange, KeyValues: r.Range.keyValues(), Count: r.Range.Count, More: r.Range.More}
		case r.Delete != nil:
			result = storer.OpResult{Kind: storer.OpDelete, Deleted: r.Delete.Deleted}
		}
		made.Responses = append(made.Responses, result)
	}

	return made
}

type wireLease struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type wireKeepAliveReply struct {
	Result wireLease    `json:"result"`
	Error  *wireFailing `json:"error"`
}

type wireWatch struct {
	Create wireWatchCreate `json:"create_request"`
}

type wireWatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

type wireWatchReply struct {
	Result struct {
		Header          wireHeader `json:"header"`
		Created         bool       `json:"created"`
		Canceled        bool       `json:"canceled"`
		CompactRevision int64      `json:"compact_revision,string"`
		Events          []struct {
			Type storer.EventKind `json:"type"`
			KV   wireKeyValue     `json:"kv"`
		} `json:"events"`
	} `json:"result"`
	Error *wireFailing `json:"error"`
}

func (r wireWatchReply) message() storer.WatchEvents {
	got := r.Result
	made := storer.WatchEvents{Created: got.Created, Revision: got.Header.Revision, CompactRevision: got.CompactRevision}
	for _, e := range got.Events {
		if e.Type == "" {
			e.Type = storer.EventPut
		}
		made.Events = append(made.Events, storer.Event{Kind: e.Type, KeyValue: e.KV.keyValue()})
	}
	switch {
	case r.Error != nil:
		made.Err = storer.FromStatus(r.Error.Code, r.Error.Message, false)
	case got.CompactRevision > 0:
		made.Err = storer.FromStatus(storer.StatusOutOfRange, "the revision is compacted", false)
	case got.Canceled:
		made.Err = storer.FromStatus(storer.StatusUnavailable, "the watch is cancelled", false)
	}

	return made
}

// wireFailing is a failure inside a stream, which comes with the HTTP status 200.
type wireFailing struct {
	Code    int    `json:"grpc_code"`
	Message string `json:"message"`
}

type wireFailure struct {
	Code    int    `json:"code"`
	Error   string `json:"error"`
	Message string `json:"message"`
}
