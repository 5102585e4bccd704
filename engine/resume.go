package engine

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// withResumeText returns the body of a chat request that makes the engine continue after the text that
// the caller already holds: the text is appended as the assistant's unfinished message.
func withResumeText(body []byte, text string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, eris.Wrap(err, "resume: request body")
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return nil, eris.Wrap(err, "resume: messages")
	}
	unfinished, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", text})
	if err != nil {
		return nil, eris.Wrap(err, "resume: text")
	}
	if fields["messages"], err = json.Marshal(append(messages, unfinished)); err != nil {
		return nil, eris.Wrap(err, "resume: messages")
	}
	fields["continue_final_message"] = json.RawMessage("true")
	return json.Marshal(fields)
}
