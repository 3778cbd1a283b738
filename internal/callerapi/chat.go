package callerapi

import (
	"context"
	"regexp"

	"tarragonbay.example/tarragonbay/internal/result"
)

// newSession in the session header asks for a session.
const newSession = "new"

// maxSessionHeader bounds the session header, in bytes.
const maxSessionHeader = 1024

var classRE = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// chat serves POST /v1/chat/completions.
func (h *handler) chat(req *request) *fieldError {
	if e := checkContentType(req); e != nil {
		return e
	}
	data, e := h.readBody(req)
	if e != nil {
		return e
	}
	call, e := h.chatCall(req, data)
	if e != nil {
		return e
	}
	ctx, cancel := withDeadline(req, call.Deadline)
	defer cancel()
	if call.Stream {
		sink := &streamSink{w: req.w}
		err := h.Router.Chat(ctx, call, sink)
		return h.endStream(req, sink, chatError(ctx, err, sink.ended))
	}
	sink := &unarySink{w: req.w, maxBytes: h.Limits.AnswerBytes}
	err := h.Router.Chat(ctx, call, sink)
	re := chatError(ctx, err, sink.written)
	if re == nil {
		return nil
	}
	if sink.written {
		h.count(req, re) // the caller stopped reading
		return nil
	}
	return &fieldError{err: re}
}

// chatError reads how the Router ended. A Router that returns no error without
// having ended the answer has a fault, and the answer is not whole.
func chatError(ctx context.Context, err error, ended bool) *result.Error {
	if err != nil {
		return routerError(ctx, err)
	}
	if !ended {
		return result.New(result.AnswerCut, "the answer could not be completed")
	}
	return nil
}

// chatCall checks headers and body.
func (h *handler) chatCall(req *request, data []byte) (ChatCall, *fieldError) {
	body, e := parseChat(data, h.Limits.NestingDepth)
	if e != nil {
		return ChatCall{}, e
	}
	class := req.Header.Get(headerClass)
	if class != "" && !classRE.MatchString(class) {
		return ChatCall{}, badField(headerClass, "must be 1 to 63 of a-z, 0-9, '.', '_', '-'")
	}
	session := req.Header.Get(headerSess)
	if len(session) > maxSessionHeader {
		return ChatCall{}, plain(result.BadSession, "the session header is too long")
	}
	fallback := h.Timeouts.Request
	if d := req.index.deadline(req.org, class); d > 0 {
		fallback = min(d, h.Timeouts.MaxRequest)
	}
	deadline, e := h.deadline(req, fallback)
	if e != nil {
		return ChatCall{}, e
	}
	if err := req.index.checkTarget(req.org, body.Model); err != nil {
		return ChatCall{}, &fieldError{param: "model", err: err}
	}
	call := ChatCall{
		RequestID:    req.id,
		Organisation: req.org,
		Target:       body.Model,
		Class:        class,
		NewSession:   session == newSession,
		Body:         body.Text,
		Stream:       body.Stream,
		MaxTokens:    body.MaxTokens,
		PromptTokens: body.PromptTokens,
		Prefix:       body.Prefix,
		Deadline:     deadline,
	}
	if !call.NewSession {
		call.SessionToken = session
	}
	return call, nil
}

// endStream ends a streamed answer. Before the first event an error is an
// ordinary one; after it, it is the last event.
func (h *handler) endStream(req *request, sink *streamSink, re *result.Error) *fieldError {
	if re == nil {
		return nil
	}
	if !sink.begun {
		return &fieldError{err: re}
	}
	h.count(req, re)
	sink.fail(re, req.callerID)
	return nil
}
