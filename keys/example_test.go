package keys_test

import (
	"fmt"
	"net"
	"net/http"
	"os"

	"guavahitch.example/guavahitch/keys"
)

// A process opens its key files once. The store reloads them when they change.
func ExampleOpen() {
	folder, _ := os.MkdirTemp("", "keys")
	defer func() { _ = os.RemoveAll(folder) }()
	authority, _ := keys.NewAuthority(folder)
	files, _ := authority.Issue("entry-1")
	store, err := keys.Open(files)
	if err != nil {
		fmt.Println(err)
		return
	}
	transport := store.Secure(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
	fmt.Println(transport.DialTLSContext != nil)
	// Output: true
}
