package keeper

import (
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

// The wire types of the platform's side. They are a second spelling of the
// published mapping, apart from the client's in package connector on purpose;
// the comment there says what a shared one would hide.

// number is an int64 that the mapping writes as a string and takes as a string or a number.
type number int64

func (n number) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

func (n *number) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	if len(text) > 1 && text[0] == '"' {
		text = text[1 : len(text)-1]
	}
	value, err := strconv.ParseInt(string(text), 10, 64)
	*n = number(value)

	return errors.Wrap(err, "int64")
}

type header struct {
	Revision number `json:"revision"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision number `json:"create_revision,omitempty"`
	ModRevision    number `json:"mod_revision,omitempty"`
	Version        number `json:"version,omitempty"`
	Lease          number `json:"lease,omitempty"`
}

func toKeyValue(kv storer.KeyValue) keyValue {
	return keyValue{
		Key:            []byte(kv.Key),
		Value:          kv.Value,
		CreateRevision: number(kv.CreateRevision),
		ModRevision:    number(kv.ModRevision),
		Version:        number(kv.Version),
		Lease:          number(kv.Lease),
	}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	Limit    number `json:"limit"`
	Revision number `json:"revision"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease number `json:"lease"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type compareRequest struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	Version        number `json:"version"`
	CreateRevision number `json:"create_revision"`
	ModRevision    number `json:"mod_revision"`
	Value          []byte `json:"value"`
}

func (c compareRequest) compare() storer.Compare {
	made := storer.Compare{
		Key:      string(c.Key),
		Target:   storer.Target(c.Target),
		Relation: storer.Relation(c.Result),
		Value:    c.Value,
	}
	switch made.Target {
	case storer.TargetCreate:
		made.Number = int64(c.CreateRevision)
	case storer.TargetMod:
		made.Number = int64(c.ModRevision)
	default:
		made.Number = int64(c.Version)
	}

	return made
}

type opRequest struct {
	Put    *putRequest    `json:"request_put"`
	Range  *rangeRequest  `json:"request_range"`
	Delete *deleteRequest `json:"request_delete_range"`
}

func (o opRequest) op() storer.Op {
	switch {
	case o.Put != nil:
		return storer.Op{Kind: storer.OpPut, Key: string(o.Put.Key), Value: o.Put.Value, Lease: int64(o.Put.Lease)}
	case o.Delete != nil:
		return storer.Op{Kind: storer.OpDelete, Key: string(o.Delete.Key), RangeEnd: string(o.Delete.RangeEnd)}
	case o.Range != nil:
		r := o.Range
		return storer.Op{Kind: storer.OpRange, Key: string(r.Key), RangeEnd: string(r.RangeEnd), Limit: int64(r.Limit)}
	}

	return storer.Op{}
}

type txnRequest struct {
	Compare []compareRequest `json:"compare"`
	Success []opRequest      `json:"success"`
	Failure []opRequest      `json:"failure"`
}

func (t txnRequest) txn() storer.Txn {
	var made storer.Txn
	for _, c := range t.Compare {
		made.Compares = append(made.Compares, c.compare())
	}
	for _, o := range t.Success {
		made.Success = append(made.Success, o.op())
	}
	for _, o := range t.Failure {
		made.Failure = append(made.Failure, o.op())
	}

	return made
}

type rangeResponse struct {
	Header *header    `json:"header,omitempty"`
	KVs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  number     `json:"count,omitempty"`
}

type putResponse struct {
	Header *header `json:"header,omitempty"`
}

type deleteResponse struct {
	Header  *header `json:"header,omitempty"`
	Deleted number  `json:"deleted,omitempty"`
}

type opResponse struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []opResponse `json:"responses,omitempty"`
}

func toRange(result storer.OpResult, revision int64) *rangeResponse {
	response := &rangeResponse{Header: &header{number(revision)}, More: result.More, Count: number(result.Count)}
	for _, kv := range result.KeyValues {
		response.KVs = append(response.KVs, toKeyValue(kv))
	}

	return response
}

func toTxn(result storer.TxnResult) txnResponse {
	response := txnResponse{Header: header{number(result.Revision)}, Succeeded: result.Succeeded}
	for _, r := range result.Responses {
		var made opResponse
		switch r.Kind {
		case storer.OpPut:
			made.Put = &putResponse{Header: &header{number(result.Revision)}}
		case storer.OpDelete:
			made.Delete = &deleteResponse{Header: &header{number(result.Revision)}, Deleted: number(r.Deleted)}
		default:
			made.Range = toRange(r, result.Revision)
		}
		response.Responses = append(response.Responses, made)
	}

	return response
}

type leaseRequest struct {
	ID  number `json:"ID"`
	TTL number `json:"TTL"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     number `json:"ID,omitempty"`
	TTL    number `json:"TTL,omitempty"`
}

type watchRequest struct {
	Create *struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision number `json:"start_revision"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision number       `json:"compact_revision,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

func toWatch(message storer.WatchEvents) watchResponse {
	response := watchResponse{
		Header:          header{number(message.Revision)},
		Created:         message.Created,
		Canceled:        message.CompactRevision > 0,
		CompactRevision: number(message.CompactRevision),
	}
	for _, e := range message.Events {
		made := watchEvent{KV: toKeyValue(e.KeyValue)}
		if e.Kind == storer.EventDelete {
			made.Type = string(e.Kind)
		}
		response.Events = append(response.Events, made)
	}

	return response
}

type streamed struct {
	Result any `json:"result"`
}

type failure struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return refuse(storer.StatusInvalidArgument, err.Error())
	}

	return nil
}
