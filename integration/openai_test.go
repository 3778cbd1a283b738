package integration

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

// officialClient returns the official client of the first entry, and a request.
func officialClient(c *harness.Cluster, key string) (openai.Client, openai.ChatCompletionNewParams) {
	client := openai.NewClient(option.WithBaseURL(c.Entries[0].URL()+"/v1"), option.WithAPIKey(key))
	return client, openai.ChatCompletionNewParams{
		Model:    "small",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
}

// TestOfficialClient drives the caller API with the official Go client.
func TestOfficialClient(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 2, Engine: engine.Behaviour{Tokens: 12}})
	for name, test := range map[string]func(*testing.T, *harness.Cluster){
		"models":               officialModels,
		"unary with a session": officialUnary,
		"streamed":             officialStream,
		"errors":               officialErrors,
	} {
		t.Run(name, func(t *testing.T) { test(t, c) })
	}
	// This one comes last, because it leaves the engines failing.
	t.Run("a stream that cannot be completed", func(t *testing.T) { officialCutStream(t, c) })
}

func officialModels(t *testing.T, c *harness.Cluster) {
	t.Helper()
	client, _ := officialClient(c, harness.Key)
	page, err := client.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Data) == 0 {
		t.Error("no models")
	}
	for _, m := range page.Data {
		if _, err := client.Models.Get(t.Context(), m.ID); err != nil {
			t.Errorf("%s: %v", m.ID, err)
		}
	}
}

func officialUnary(t *testing.T, c *harness.Cluster) {
	t.Helper()
	client, params := officialClient(c, harness.Key)
	var res *http.Response
	got, err := client.Chat.Completions.New(t.Context(), params,
		option.WithHeader("X-Session", "new"), option.WithHeader("X-Request-Id", "mine"), option.WithResponseInto(&res))
	if err != nil {
		t.Fatal(err)
	}
	if text := got.Choices[0].Message.Content; !strings.HasSuffix(text, " end") || got.Usage.CompletionTokens == 0 {
		t.Errorf("got %q, usage %+v", text, got.Usage)
	}
	h := res.Header
	if h.Get("X-Request-Id") != "mine" || h.Get("X-Session") == "" || h.Get("X-Tarragonbay-Version") != got.Model {
		t.Errorf("headers %v, model %q", h, got.Model)
	}
}

func officialStream(t *testing.T, c *harness.Cluster) {
	t.Helper()
	client, params := officialClient(c, harness.Key)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var all openai.ChatCompletionAccumulator
	for stream.Next() {
		if !all.AddChunk(stream.Current()) {
			t.Fatal("the client could not put the chunk with the others")
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if text := all.Choices[0].Message.Content; !strings.HasSuffix(text, " end") || all.Usage.TotalTokens == 0 {
		t.Errorf("got %q, usage %+v", text, all.Usage)
	}
}

func officialErrors(t *testing.T, c *harness.Cluster) {
	t.Helper()
	client, params := officialClient(c, harness.Key)
	for model, want := range map[string]result.Code{"none": result.UnknownModel, "": result.MissingModel} {
		bad := params
		bad.Model = model
		_, err := client.Chat.Completions.New(t.Context(), bad)
		var e *openai.Error
		if !errors.As(err, &e) || e.StatusCode != want.HTTPStatus() || e.Code != want.Info().Name {
			t.Errorf("%q: got %v", model, err)
		}
	}
	stranger, _ := officialClient(c, "nope")
	_, err := stranger.Models.List(t.Context())
	var e *openai.Error
	if !errors.As(err, &e) || e.StatusCode != http.StatusUnauthorized {
		t.Errorf("got %v", err)
	}
}

func officialCutStream(t *testing.T, c *harness.Cluster) {
	t.Helper()
	client, params := officialClient(c, harness.Key)
	for _, a := range c.Agents {
		c.SetEngine(a, engine.Behaviour{Tokens: 12, CutAfter: 4})
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	for stream.Next() {
		continue
	}
	if stream.Err() == nil {
		t.Error("a cut answer was taken for whole")
	}
}
