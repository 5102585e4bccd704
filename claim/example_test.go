package claim_test

import (
	"fmt"
	"time"

	"guavahitch.example/guavahitch/claim"
	"guavahitch.example/guavahitch/wire"
)

// A key is granted to one attempt. A resend gets the stored answer.
func ExampleKeys() {
	keys := claim.NewKeys(claim.NewMemoryStore(24 * time.Hour))
	request := func(attempt string) *wire.ClaimRequest {
		return &wire.ClaimRequest{
			Organisation: "north", Key: "entry-17", Fingerprint: []byte("f"), Id: &wire.AttemptID{Request: attempt, Attempt: 1},
		}
	}
	first, _ := keys.Claim(request("r-1"), 0)
	fmt.Println(first.State)
	_, _ = keys.Settle(&wire.SettleRequest{
		Organisation: "north", Key: "entry-17", Id: &wire.AttemptID{Request: "r-1", Attempt: 1},
		Outcome: wire.Outcome_OUTCOME_RAN, Answer: &wire.Answer{Status: 200, Body: []byte("done")},
	}, 10)
	resend, _ := keys.Claim(request("r-2"), 20)
	fmt.Println(resend.State, string(resend.Answer.Body))
	// Output:
	// granted
	// settled done
}
