// The durable records of decisions, numbered from 1.

package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/wire"
)

const (
	// firstRecord is the index of the first record.
	firstRecord = 1
	// recordRetention is the minimum time for which a record is kept.
	recordRetention = 400 * 24 * time.Hour
	// maxRecordsPerPage limits the records in one reply.
	maxRecordsPerPage = 500
	// maxRecordsScanned limits the records that one call reads, including those that do not match.
	maxRecordsScanned = 20_000
)

type records struct {
	next  uint64
	store *claim.Store
}

func newRecords(store *claim.Store) *records {
	return &records{next: firstRecord, store: store}
}

func (r *records) add(record *wire.Record, nowMs int64) {
	record.Index = r.next
	r.next++
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		return
	}
	r.store.Put(claim.KeyOfNumber(record.Index), encoded, nowMs)
}

// Records returns the records after an index that match the request, oldest first, one page at a time. After in
// the reply is the index of the last record that was read, also if the page ended at the scan limit.
func (s *State) Records(request *wire.RecordsRequest) *wire.RecordsReply {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	limit := int(request.Limit)
	if limit <= 0 || limit > maxRecordsPerPage {
		limit = maxRecordsPerPage
	}
	reply := &wire.RecordsReply{After: request.After}
	scanned := 0
	err := s.records.store.Scan(claim.KeyOfNumber(request.After+1), func(_ claim.Key, data []byte) bool {
		record := &wire.Record{}
		if err := proto.Unmarshal(data, record); err != nil {
			return true
		}
		scanned++
		reply.After = record.Index
		if matches(record, request) {
			reply.Records = append(reply.Records, record)
		}
		return len(reply.Records) < limit && scanned < maxRecordsScanned
	})
	if err != nil {
		reply.Failure = storageFailure("records", err)
	}
	reply.More = reply.After+1 < s.records.next
	return reply
}

func matches(record *wire.Record, request *wire.RecordsRequest) bool {
	if request.Kind != "" && record.Kind != request.Kind {
		return false
	}
	return request.ChangeId == "" || record.ChangeId == request.ChangeId
}
