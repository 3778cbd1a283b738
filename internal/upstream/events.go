package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"

	"tarragonbay.example/tarragonbay/internal/jsonscan"
	"tarragonbay.example/tarragonbay/internal/result"
)

// maxEventBytes bounds one server-sent event of an engine.
const maxEventBytes = 1 << 20

// eventReaderBytes is the first size of the line buffer.
const eventReaderBytes = 1 << 10

var (
	dataPrefix  = []byte("data:")
	doneEvent   = []byte("[DONE]")
	usageField  = []byte(`"usage"`)
	errorField  = []byte(`"error"`)
	nullLiteral = []byte("null")
)

// readEvents passes each event to the sink until [DONE]. A stream that ends
// without it was cut.
func readEvents(ctx context.Context, body io.Reader, sink Sink) (Usage, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, eventReaderBytes), maxEventBytes)
	var usage Usage
	idle := 0 // bytes since the last event
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !ok {
			if idle += len(scanner.Bytes()) + 1; idle > maxEventBytes {
				return usage, cutError(ctx, bufio.ErrTooLong)
			}
			continue
		}
		idle = 0
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneEvent) {
			return usage, nil
		}
		if err := failureEvent(data); err != nil {
			return usage, err
		}
		if u, ok := usageOf(data); ok {
			usage = u
		}
		if err := sink.Data(data); err != nil {
			return usage, sinkError(err)
		}
	}
	err := scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return usage, cutError(ctx, err)
}

// failureEvent finds an error event inside a stream.
func failureEvent(data []byte) error {
	if !bytes.HasPrefix(data, []byte(`{"error"`)) && !bytes.Contains(data, errorField) {
		return nil
	}
	var event struct {
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &event) != nil || event.Error == nil {
		return nil
	}
	return result.New(result.UpstreamFailed, "the engine failed: %s", event.Error.Message)
}

// usageOf reads the usage of an event that has one.
func usageOf(data []byte) (Usage, bool) {
	i := bytes.Index(data, usageField)
	if i < 0 {
		return Usage{}, false
	}
	rest := bytes.TrimLeft(data[i+len(usageField):], ": ")
	if bytes.HasPrefix(rest, nullLiteral) {
		return Usage{}, false
	}
	return parseUsage(data), true
}

// parseUsage reads the usage object of an OpenAI answer; none reads as zero.
func parseUsage(data []byte) Usage {
	if !json.Valid(data) {
		return Usage{}
	}
	usage := jsonscan.Lookup(data, "usage")
	details := jsonscan.Lookup(usage, "prompt_tokens_details")
	return Usage{
		InputTokens:  count(jsonscan.Lookup(usage, "prompt_tokens")),
		OutputTokens: count(jsonscan.Lookup(usage, "completion_tokens")),
		CachedTokens: count(jsonscan.Lookup(details, "cached_tokens")),
	}
}

// count reads a number of tokens; anything else reads as zero.
func count(text []byte) uint64 {
	n, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
