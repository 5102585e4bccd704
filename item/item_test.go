package item_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"guavahitch.example/guavahitch/item"
	"guavahitch.example/guavahitch/wire"
)

// An item that cannot be encoded does not block the others.
func ExampleEncodeAll() {
	list := []*wire.UpstreamRenewal{{Id: "a"}, {Id: "b-\xff"}, {Id: "c"}}
	items := item.EncodeAll(nil, "renewal", (*wire.UpstreamRenewal).GetId, list)
	for _, m := range item.DecodeAll[wire.UpstreamRenewal](nil, "renewal", "replica", items) {
		fmt.Println(m.Id)
	}
	// Output:
	// a
	// c
}

// Guards against one item that is logged again and again, and against items that are left out unseen.
func TestLeftOutItemsAreNamedOnceAndCounted(t *testing.T) {
	var lines bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&lines)
	scope := tally.NewTestScope("", nil)
	l := item.NewLog(logrus.NewEntry(logger), scope)
	huge := &wire.UpstreamRenewal{Id: strings.Repeat("x", item.MaxBytes+1)}
	for range 3 {
		require.Empty(t, item.EncodeAll(l, "renewal", func(*wire.UpstreamRenewal) string { return "huge" }, []*wire.UpstreamRenewal{huge}))
		require.Empty(t, item.DecodeAll[wire.UpstreamRenewal](l, "renewal", "replica-2", [][]byte{{0xff}}))
	}
	require.Equal(t, 1, strings.Count(lines.String(), "origin=huge"))
	require.Equal(t, 1, strings.Count(lines.String(), "origin=replica-2"))
	require.Equal(t, int64(6), scope.Snapshot().Counters()["items_left_out+kind=renewal"].Value())
}
