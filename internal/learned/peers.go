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

// answersPerSecond bounds the memories that an entry sends.
const answersPerSecond = 4

// Handler serves EntryService.
type Handler struct {
	memory func(ctx context.Context) (quality.Memory, error)
	limit  *rate.Limiter
}

var _ linkv1connect.EntryServiceHandler = (*Handler)(nil)

// NewHandler returns the path and the handler to mount.
func NewHandler(memory func(ctx context.Context) (quality.Memory, error)) (string, http.Handler) {
	return linkv1connect.NewEntryServiceHandler(&Handler{
		memory: memory,
		limit:  rate.NewLimiter(answersPerSecond, answersPerSecond),
	})
}

// Learned answers with what this entry has learned, or with nothing while that
// is nothing. ResourceExhausted means that too many ask.
func (h *Handler) Learned(ctx context.Context, _ *connect.Request[linkv1.LearnedRequest]) (*connect.Response[linkv1.LearnedResponse], error) {
	if !h.limit.Allow() {
		err := result.New(result.RateLimited, "too many entries ask").WithRetryAfter(time.Second)
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

// knownSenders is how many addresses an agent returns.
const knownSenders = 8

// Relay serves EntryService on an agent, which has learned nothing but knows
// which entries send to it.
type Relay struct {
	senders func(n int) []string
}

var _ linkv1connect.EntryServiceHandler = (*Relay)(nil)

// NewRelay returns the path and the handler to mount.
func NewRelay(senders func(n int) []string) (string, http.Handler) {
	return linkv1connect.NewEntryServiceHandler(&Relay{senders: senders})
}

// Learned answers with where entries may be asked.
func (r *Relay) Learned(context.Context, *connect.Request[linkv1.LearnedRequest]) (*connect.Response[linkv1.LearnedResponse], error) {
	return connect.NewResponse(&linkv1.LearnedResponse{Senders: r.senders(knownSenders)}), nil
}

// Ask asks the daemon at an address what it has learned.
type Ask func(ctx context.Context, address string) (*linkv1.LearnedResponse, error)

// Connect returns an Ask over connect-go.
func Connect(dial publish.Dial) Ask {
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
