package keeper

import (
	"encoding/json"
	"net/http"

	"quincepath.example/quincepath/internal/storer"
)

func (s *Server) header() header {
	return header{number(s.store.Revision())}
}

func (s *Server) rangeKeys(body []byte) (any, error) {
	var q rangeRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	result, revision, err := s.store.Range(Query{
		Key:      string(q.Key),
		RangeEnd: string(q.RangeEnd),
		Limit:    int64(q.Limit),
		Revision: int64(q.Revision),
	})

	return toRange(result, revision), err
}

func (s *Server) put(body []byte) (any, error) {
	var q putRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	revision, err := s.store.Put(string(q.Key), q.Value, int64(q.Lease))

	return putResponse{Header: &header{number(revision)}}, err
}

func (s *Server) deleteRange(body []byte) (any, error) {
	var q deleteRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	deleted, revision, err := s.store.Delete(string(q.Key), string(q.RangeEnd))

	return deleteResponse{Header: &header{number(revision)}, Deleted: number(deleted)}, err
}

func (s *Server) txn(body []byte) (any, error) {
	var q txnRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	result, err := s.store.Txn(q.txn())

	return toTxn(result), err
}

func (s *Server) grant(body []byte) (any, error) {
	var q leaseRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	id, err := s.store.Grant(int64(q.ID), int64(q.TTL))

	return leaseResponse{Header: s.header(), ID: number(id), TTL: min(max(q.TTL, 1), maxLeaseSeconds)}, err
}

func (s *Server) keepAlive(body []byte) (any, error) {
	var q leaseRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}

	left := s.store.KeepAlive(int64(q.ID))

	return streamed{leaseResponse{Header: s.header(), ID: q.ID, TTL: number(left)}}, nil
}

func (s *Server) revoke(body []byte) (any, error) {
	var q leaseRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	revision, err := s.store.Revoke(int64(q.ID))

	return putResponse{Header: &header{number(revision)}}, err
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	body, err := s.admit(w, r, "watch", s.reads)
	if err != nil {
		fail(w, err)
		return
	}
	var q watchRequest
	if err := decode(body, &q); err != nil {
		fail(w, err)
		return
	}
	if q.Create == nil {
		fail(w, refuse(storer.StatusInvalidArgument, "create_request is missing"))
		return
	}
	watcher := s.store.Watch(string(q.Create.Key), string(q.Create.RangeEnd), int64(q.Create.StartRevision))
	defer watcher.Close()
	stream(w, r, watcher)
}

func stream(w http.ResponseWriter, r *http.Request, watcher *Watcher) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	flusher := http.NewResponseController(w)
	for {
		message, err := watcher.Next(r.Context())
		if err != nil {
			return
		}
		if encoder.Encode(streamed{toWatch(message)}) != nil || flusher.Flush() != nil {
			return
		}
		if message.CompactRevision > 0 {
			return
		}
	}
}

// switches are the faults on demand; none is set at the start.
type switches struct {
	// Outage answers all calls with the status "unavailable".
	Outage bool `json:"outage"`
	// SlowMS is the time before each call takes effect, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseReplies is how many of the next writes are applied and their connections broken off.
	LoseReplies int `json:"lose_replies"`
	// DropWatches makes watches silent, as SilenceWatches says.
	DropWatches bool `json:"drop_watches"`
}

func (s *Server) addControls(mux *http.ServeMux) {
	mux.HandleFunc("POST /standin/switches", s.control(s.setSwitches))
	mux.HandleFunc("POST /standin/vms", s.control(s.setVMs))
	mux.HandleFunc("GET /standin/counts", s.control(s.readCounts))
	mux.HandleFunc("DELETE /standin/counts", s.control(s.resetCounts))
}

func (s *Server) control(act action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body json.RawMessage
		if r.Method == http.MethodPost {
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
				fail(w, refuse(storer.StatusInvalidArgument, err.Error()))
				return
			}
		}
		respond(w, body, act)
	}
}

// setSwitches replaces the switches that the body names and answers with all of them.
func (s *Server) setSwitches(body []byte) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.switches
	if err := decode(body, &set); err != nil {
		return nil, err
	}
	s.switches = set
	s.store.SilenceWatches(set.DropWatches)
	s.logger.Info().Bool("outage", set.Outage).Int("slow_ms", set.SlowMS).Int("lose_replies", set.LoseReplies).
		Bool("drop_watches", set.DropWatches).Msg("switches_set")

	return set, nil
}

func (s *Server) setVMs(body []byte) (any, error) {
	var list storer.VMList
	if err := decode(body, &list); err != nil {
		return nil, err
	}
	s.store.SetVMs(list.VMs)

	return struct{}{}, nil
}

func (s *Server) readCounts([]byte) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int64, len(s.counts))
	for kind, n := range s.counts {
		copied[kind] = n
	}

	return copied, nil
}

func (s *Server) resetCounts([]byte) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.counts)

	return struct{}{}, nil
}

func (s *Server) count(kind string) switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[kind]++

	return s.switches
}

func (s *Server) losesReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.LoseReplies == 0 {
		return false
	}
	s.switches.LoseReplies--

	return true
}
