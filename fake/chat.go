package fake

import (
	"strings"
	"time"
)

// chat.go defines the messages of the OpenAI-compatible chat interface that the fake engine implements.

type (
	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	chatRequest struct {
		Model     string        `json:"model"`
		Messages  []chatMessage `json:"messages"`
		MaxTokens int           `json:"max_tokens"`
		Stream    bool          `json:"stream"`
		Continue  bool          `json:"continue_final_message"`
	}

	chatChoice struct {
		Index        int          `json:"index"`
		Delta        *chatMessage `json:"delta,omitempty"`
		Message      *chatMessage `json:"message,omitempty"`
		FinishReason string       `json:"finish_reason,omitempty"`
	}

	chatUsage struct {
		CompletionTokens int `json:"completion_tokens"`
	}

	chatCompletion struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Model   string       `json:"model"`
		Choices []chatChoice `json:"choices"`
		Usage   *chatUsage   `json:"usage,omitempty"`
		// EmittedUs is the Unix time at which the engine sent the chunk, in microseconds.
		EmittedUs int64 `json:"emitted_us,omitempty"`
	}
)

func newChunk(id, model, text string) chatCompletion {
	delta := &chatMessage{Role: "assistant", Content: text}
	return chatCompletion{
		ID: "chatcmpl-" + id, Object: "chat.completion.chunk", Model: model, Choices: []chatChoice{{Delta: delta}},
		EmittedUs: time.Now().UnixMicro(),
	}
}

func newCompletion(id, model string, words []string) chatCompletion {
	message := &chatMessage{Role: "assistant", Content: strings.Join(words, " ")}
	return chatCompletion{
		ID: "chatcmpl-" + id, Object: "chat.completion", Model: model,
		Choices: []chatChoice{{Message: message, FinishReason: "stop"}},
		Usage:   &chatUsage{CompletionTokens: len(words)},
	}
}
