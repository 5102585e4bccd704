package identifier_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"guavahitch.example/guavahitch/identifier"
	"guavahitch.example/guavahitch/wire"
)

// IDs of upstreams are checked where they arrive.
func ExampleCheck() {
	fmt.Println(identifier.Check("i-7f3a91c2"))
	fmt.Println(identifier.Check("i-\xff\x80"))
	// Output:
	// <nil>
	// "i-\xff\x80" is not UTF-8
}

// Guards against names that one layer accepts and another cannot encode, send in a header field or write in one line.
func TestCheckRefuses(t *testing.T) {
	for _, name := range []string{"\xff", "\xed\xa0\x80", "\xc0\xaf", "a\x00", "a\n", "a\x7f", "a\u0085", strings.Repeat("a", 257)} {
		require.Error(t, identifier.Check(name), "%q", name)
	}
	for _, name := range []string{"", "zürich", "日本", strings.Repeat("a", 256)} {
		require.NoError(t, identifier.Check(name), "%q", name)
	}
}

// FuzzCheck checks that each accepted name can be encoded and arrives unchanged.
func FuzzCheck(f *testing.F) {
	f.Add("i-\xff\x80")
	f.Add("i-7f3a91c2")
	f.Fuzz(func(t *testing.T, name string) {
		if identifier.Check(name) != nil {
			return
		}
		data, err := proto.Marshal(&wire.UpstreamRenewal{Id: name})
		require.NoError(t, err)
		var decoded wire.UpstreamRenewal
		require.NoError(t, proto.Unmarshal(data, &decoded))
		require.Equal(t, name, decoded.Id)
	})
}
