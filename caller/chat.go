package caller

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v5"

	"guavahitch.example/guavahitch/dispatch"
	"guavahitch.example/guavahitch/outcome"
	"guavahitch.example/guavahitch/quarantine"
	"guavahitch.example/guavahitch/routing"
)

// chat.go serves the OpenAI-style interface: the list of models and chat completions.

const (
	// maxPromptParts bounds the parts of a prompt by which deadly requests are known.
	maxPromptParts = 8
	// bytesPerToken is the assumed size of a prompt token, by which the number of tokens is estimated.
	bytesPerToken = 4
	// defaultOutputTokens is the expected length of an answer whose request sets no maximum.
	defaultOutputTokens = 256
	// maxOutputTokens is the largest maximum that a request may set.
	maxOutputTokens = 1 << 20
)

type (
	chatRequest struct {
		Model    string `json:"model"`
		Messages []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
		Stream              bool `json:"stream"`
		MaxTokens           *int `json:"max_tokens"`
		MaxCompletionTokens *int `json:"max_completion_tokens"`
	}

	modelList struct {
		Object string      `json:"object"`
		Data   []modelItem `json:"data"`
	}

	modelItem struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
)

func (s *Server) models(c *echo.Context) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range s.settings.Dispatcher.Inventory().Models {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: "guavahitch"})
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) chat(c *echo.Context) error {
	request, release, refusal := s.newRequest(c)
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	defer release()
	if refusal := s.readChat(request); refusal != nil {
		return writeRefusal(c, refusal)
	}
	return s.serveRequest(c, request)
}

func (s *Server) readChat(request *dispatch.Request) *outcome.Error {
	var body chatRequest
	if err := json.Unmarshal(request.Body, &body); err != nil {
		return badRequest("bad-json", describeJSONError(err))
	}
	if body.Model == "" {
		return badRequest("bad-model", "the field model is missing")
	}
	model, known := s.settings.Dispatcher.Inventory().Model(body.Model)
	if !known {
		return newRefusal("unknown-model", fmt.Sprintf("the inventory does not list model %.100q", body.Model), http.StatusNotFound, 0)
	}
	if len(body.Messages) == 0 {
		return badRequest("bad-messages", "the field messages takes at least one message")
	}
	for i, m := range body.Messages {
		if m.Role == "" || len(m.Content) == 0 {
			return badRequest("bad-messages", fmt.Sprintf("messages[%d] needs a role and a content", i))
		}
	}
	tokens, refusal := outputTokens(&body)
	if refusal != nil {
		return refusal
	}
	request.Service = body.Model
	request.IsModel, request.Repeatable, request.Stream = true, true, body.Stream
	request.Weight = model.Weight
	request.PromptTokens = len(request.Body)/bytesPerToken + 1
	request.OutputTokens = tokens
	request.PrefixHashes = prefixHashes(&body)
	request.Parts = promptParts(&body)
	return nil
}

func outputTokens(body *chatRequest) (int, *outcome.Error) {
	maxTokens := body.MaxCompletionTokens
	if maxTokens == nil {
		maxTokens = body.MaxTokens
	}
	if maxTokens == nil {
		return defaultOutputTokens, nil
	}
	if *maxTokens < 1 || *maxTokens > maxOutputTokens {
		return 0, badRequest("bad-max-tokens", fmt.Sprintf("max_tokens takes 1 to %d", maxOutputTokens))
	}
	return *maxTokens, nil
}

func describeJSONError(err error) string {
	switch known := err.(type) {
	case *json.SyntaxError:
		return fmt.Sprintf("byte %d: %v", known.Offset, err)
	case *json.UnmarshalTypeError:
		return fmt.Sprintf("byte %d: field %s takes a %v, not a %s", known.Offset, known.Field, known.Type, known.Value)
	default:
		return err.Error()
	}
}

// promptParts returns the parts of the prompt that other requests may share: all messages but the last, at most
// maxPromptParts of them.
func promptParts(body *chatRequest) []quarantine.Fingerprint {
	var parts []quarantine.Fingerprint
	for _, m := range body.Messages[:min(len(body.Messages)-1, maxPromptParts)] {
		parts = append(parts, quarantine.NewPart(m.Role+"\x00"+string(m.Content)))
	}
	return parts
}

// prefixHashes returns one hash for each full leading block of the prompt. Each hash covers the prompt from its start
// to the end of the block.
func prefixHashes(body *chatRequest) []uint64 {
	const blockBytes = routing.BlockTokens * bytesPerToken
	digest := xxhash.New()
	var hashes []uint64
	filled := 0
	for _, m := range body.Messages {
		text := append([]byte(m.Role+"\x00"), m.Content...)
		for len(text) > 0 {
			n := min(blockBytes-filled, len(text))
			_, _ = digest.Write(text[:n])
			text = text[n:]
			if filled += n; filled == blockBytes {
				hashes = append(hashes, digest.Sum64())
				filled = 0
			}
		}
	}
	return hashes
}
