package learned

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/link/linkv1/linkv1connect"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
)

// maxResponsesPerSecond limits how often an entry sends its learned state.
const maxResponsesPerSecond = 4

// Handler implements EntryService on an entry.
type Handler struct {
	// memory returns the learned state of this entry.
	memory func(ctx context.Context) (quality.Snapshot, error)
	limit  *rate.Limiter
}

var _ linkv1connect.EntryServiceHandler = (*Handler)(nil)

// NewHandler returns the path to mount EntryService of an entry on, and its HTTP handler.
func NewHandler(memory func(ctx context.Context) (quality.Snapshot, error)) (string, http.Handler) {
	return linkv1connect.NewEntryServiceHandler(&Handler{
		memory: memory,
		limit:  rate.NewLimiter(maxResponsesPerSecond, maxResponsesPerSecond),
	}, connect.WithReadMaxBytes(maxRequestBytes))
}

// maxRequestBytes bounds a decoded request, which is empty.
const maxRequestBytes = 64 << 10

// Learned returns the learned state of this entry, which is empty until the entry has
// learned something. It fails with ResourceExhausted if requests exceed the rate limit.
func (h *Handler) Learned(ctx context.Context, _ *connect.Request[linkv1.LearnedRequest]) (*connect.Response[linkv1.LearnedResponse], error) {
	if !h.limit.Allow() {
		err := result.New(result.RateLimited, "too many requests for the learned state").WithRetryAfter(time.Second)
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	memory, err := h.memory(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	resp := &linkv1.LearnedResponse{}
	if memory.Empty() {
		return connect.NewResponse(resp), nil
	}
	if resp.Packed, _, err = Pack(memory); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(resp), nil
}

// maxSenders is the maximum number of entry addresses that an agent returns.
const maxSenders = 8

// AgentHandler implements EntryService on an agent. An agent has no learned state; it returns
// the addresses of entries that send requests to it.
type AgentHandler struct {
	// senders returns the addresses of at most n entries.
	senders func(n int) []string
}

var _ linkv1connect.EntryServiceHandler = (*AgentHandler)(nil)

// NewAgentHandler returns the path to mount EntryService of an agent on, and its HTTP handler.
func NewAgentHandler(senders func(n int) []string) (string, http.Handler) {
	return linkv1connect.NewEntryServiceHandler(&AgentHandler{senders: senders}, connect.WithReadMaxBytes(maxRequestBytes))
}

// Learned returns the addresses of entries that may have learned state.
func (r *AgentHandler) Learned(context.Context, *connect.Request[linkv1.LearnedRequest]) (*connect.Response[linkv1.LearnedResponse], error) {
	return connect.NewResponse(&linkv1.LearnedResponse{Senders: r.senders(maxSenders)}), nil
}

// FetchFunc requests the learned state from the daemon at address.
type FetchFunc func(ctx context.Context, address string) (*linkv1.LearnedResponse, error)

// NewFetchFunc returns a FetchFunc that calls EntryService over connect-go.
func NewFetchFunc(dial publish.Dial) FetchFunc {
	return func(ctx context.Context, address string) (*linkv1.LearnedResponse, error) {
		client, baseURL := dial(address)
		resp, err := linkv1connect.NewEntryServiceClient(client, baseURL, connect.WithReadMaxBytes(2*MaxBytes)).
			Learned(ctx, connect.NewRequest(&linkv1.LearnedRequest{}))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	}
}
