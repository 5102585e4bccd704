package engine

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// withResumeText returns a chat request body that makes the engine continue after the text that the caller has already
// received. The text is appended as an unfinished message of the assistant.
func withResumeText(body []byte, text string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, eris.Wrap(err, "parse the request body to resume its answer")
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return nil, eris.Wrap(err, "parse the messages to resume their answer")
	}
	unfinished, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", text})
	if err != nil {
		return nil, eris.Wrap(err, "encode the text to resume after")
	}
	if fields["messages"], err = json.Marshal(append(messages, unfinished)); err != nil {
		return nil, eris.Wrap(err, "encode the messages of the resumed request")
	}
	fields["continue_final_message"] = json.RawMessage("true")
	return json.Marshal(fields)
}
