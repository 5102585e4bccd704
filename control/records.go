// The durable records of decisions, numbered from one.

package control

import (
	"guavahitch.example/guavahitch/wire"
)

const (
	// recordsInMemory is the number of records that are kept.
	recordsInMemory = 16384
	// recordsPage is the most records that one call returns.
	recordsPage = 500
)

type records struct {
	next uint64
	held []*wire.Record
}

func newRecords() *records {
	return &records{next: 1}
}

func (r *records) add(record *wire.Record) {
	record.Index = r.next
	r.next++
	r.held = append(r.held, record)
	if len(r.held) > 2*recordsInMemory {
		r.held = append([]*wire.Record(nil), r.held[len(r.held)-recordsInMemory:]...)
	}
}

// Records returns the records after an index that match the request, oldest first, one page at a time.
func (s *State) Records(request *wire.RecordsRequest) *wire.RecordsReply {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	limit := int(request.Limit)
	if limit <= 0 || limit > recordsPage {
		limit = recordsPage
	}
	reply := &wire.RecordsReply{}
	for _, record := range s.records.held {
		if len(reply.Records) == limit {
			break
		}
		if record.Index > request.After && matches(record, request) {
			reply.Records = append(reply.Records, record)
		}
	}
	return reply
}

func matches(record *wire.Record, request *wire.RecordsRequest) bool {
	if request.Kind != "" && record.Kind != request.Kind {
		return false
	}
	return request.ChangeId == "" || record.ChangeId == request.ChangeId
}
