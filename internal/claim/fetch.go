package claim

import (
	"context"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// FetchFunc asks the agent of a binding for the whole answer of its attempt,
// which the claimant may not have recorded. The error is InProgress while the
// attempt runs; any other means that the answer is not available.
type FetchFunc func(ctx context.Context, b Binding) (Answer, error)

const (
	// fetchTimeout bounds a fetch.
	fetchTimeout = 500 * time.Millisecond
	// answerRetention is the time after the first caller's deadline in which an
	// agent may still hold the answer.
	answerRetention = time.Minute
)

// replay returns the answer of the first run from its agent's buffer and
// records it. When the agent does not have it, replay returns otherwise.
func (b *Registry) replay(ctx context.Context, first *Claim, otherwise *result.Error) (*Claim, *Answer, error) {
	if !b.opts.Now().Before(first.rec.Deadline.Add(answerRetention)) {
		return nil, nil, otherwise
	}
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := b.opts.Fetch(fetchCtx, first.rec.Binding)
	switch {
	case result.Is(err, result.InProgress):
		return nil, nil, inProgress("the first call still runs")
	case err != nil:
		return nil, nil, otherwise
	}
	if first.rec.State != Done {
		first.Complete(ctx, answer)
	}
	return nil, &answer, nil
}

// inProgress returns an InProgress error that advises the caller to retry later.
func inProgress(message string) *result.Error {
	return result.New(result.InProgress, "%s", message).WithRetryAfter(retryInProgress)
}
