// Package item encodes and decodes the items of a message one by one. A message carries them as bytes, so that an item which
// cannot be encoded or decoded is left out and does not block the others. Log counts these items and names them.
package item

import (
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxBytes bounds one encoded item.
	MaxBytes = 1 << 20
	// maxNamed bounds the items that are remembered so that each of them is logged once. maxOriginBytes bounds their names.
	maxNamed       = 256
	maxOriginBytes = 128
)

type (
	// Log records the items that are left out. It is safe for concurrent use. A nil Log records nothing.
	Log struct {
		log   *logrus.Entry
		scope tally.Scope

		mutex sync.Mutex
		named map[source]bool
	}

	// Kind names the items of one list, such as "upstream", in log lines and metrics.
	Kind string

	// source identifies an item that was left out: its kind and where it comes from.
	source struct {
		kind   Kind
		origin string
	}
)

// NewLog returns a log that writes to the given log and scope.
func NewLog(log *logrus.Entry, scope tally.Scope) *Log {
	return &Log{log: log, scope: scope, named: map[source]bool{}}
}

// LeaveOut counts an item that is left out. It logs the first one of each kind and origin.
func (l *Log) LeaveOut(kind Kind, origin string, err error) {
	if l == nil {
		return
	}
	l.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("items_left_out").Inc(1)
	origin = origin[:min(len(origin), maxOriginBytes)]
	if l.isNew(source{kind, origin}) {
		l.log.WithError(err).WithFields(logrus.Fields{"kind": kind, "origin": origin}).Warn("item left out")
	}
}

// isNew reports whether a source has not been logged, and remembers it.
func (l *Log) isNew(s source) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.named[s] {
		return false
	}
	if len(l.named) >= maxNamed {
		clear(l.named)
	}
	l.named[s] = true
	return true
}

// Encode returns one encoded item.
func Encode(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode the item")
	}
	if len(data) > MaxBytes {
		return nil, eris.Errorf("the item has %d bytes, over the limit of %d", len(data), MaxBytes)
	}
	return data, nil
}

// EncodeAll returns the encoded items of a list. Those that cannot be encoded are left out; origin names them in the log.
func EncodeAll[M proto.Message](l *Log, kind Kind, origin func(M) string, list []M) [][]byte {
	items := make([][]byte, 0, len(list))
	for _, m := range list {
		data, err := Encode(m)
		if err != nil {
			l.LeaveOut(kind, origin(m), err)
			continue
		}
		items = append(items, data)
	}
	return items
}

// DecodeAll returns the items of a list that can be decoded. The others are left out; origin is the sender.
func DecodeAll[T any, M interface {
	*T
	proto.Message
}](l *Log, kind Kind, origin string, items [][]byte,
) []M {
	list := make([]M, 0, len(items))
	for _, data := range items {
		m := M(new(T))
		if err := proto.Unmarshal(data, m); err != nil {
			l.LeaveOut(kind, origin, eris.Wrap(err, "decode the item"))
			continue
		}
		list = append(list, m)
	}
	return list
}
