package consensus

import "sync"

// queue passes items from one goroutine to another without blocking the sender. It has no limit of its own; the
// limits on the proposals that a node accepts bound it.
type queue[T any] struct {
	mutex  sync.Mutex
	items  []T
	signal chan struct{}
}

func newQueue[T any]() *queue[T] {
	return &queue[T]{signal: make(chan struct{}, 1)}
}

func (q *queue[T]) push(item T) {
	q.mutex.Lock()
	q.items = append(q.items, item)
	q.mutex.Unlock()
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// takeAll returns all items, oldest first.
func (q *queue[T]) takeAll() []T {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := q.items
	q.items = nil
	return taken
}

func (q *queue[T]) isEmpty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.items) == 0
}

// drain returns the first item and the items that the channel holds already, up to a limit in total.
func drain[T any](first T, more <-chan T, limit int) []T {
	items := []T{first}
	for len(items) < limit {
		select {
		case item := <-more:
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}
