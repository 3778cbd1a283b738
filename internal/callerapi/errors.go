package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// fieldError is a refusal that names the field or header it is about.
type fieldError struct {
	param string
	err   *result.Error
}

func badField(param, format string, args ...any) *fieldError {
	e := result.New(result.BadField, format, args...)
	if param != "" {
		e.Message = param + " " + e.Message
	} else {
		e.Message = "the body " + e.Message
	}
	return &fieldError{param: param, err: e}
}

// errorBody is OpenAI's error object with the product's own fields.
type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// TBCode is the numbered result code, such as "TB1006".
	TBCode string `json:"tb_code"`
	// Outcome is not_run, unknown or ran.
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id,omitempty"`
}

func encodeError(e *result.Error, param, requestID string) []byte {
	info := e.Code.Info()
	obj := errorObject{
		Message:   e.Message,
		Type:      errorType(info.Status),
		Code:      info.Name,
		TBCode:    e.Code.String(),
		Outcome:   e.Outcome.String(),
		RequestID: requestID,
	}
	if param != "" {
		obj.Param = &param
	}
	data, _ := json.Marshal(errorBody{obj}) // plain strings always encode
	return data
}

// errorType returns OpenAI's name for the class of the status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusNotFound:
		return "not_found_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// retrySeconds rounds up, so that a caller is never told to come back early.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// writeError answers with an error as JSON.
func writeError(w http.ResponseWriter, e *result.Error, param, requestID string) {
	h := w.Header()
	h.Set("Content-Type", contentJSON)
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retrySeconds(e.RetryAfter))
	}
	if e.Outcome != result.NotRun {
		// Client libraries repeat on 5xx by themselves unless told not to.
		h.Set("X-Should-Retry", "false")
	}
	body := encodeError(e, param, requestID)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Code.HTTPStatus())
	_, _ = w.Write(body) // a caller that is gone cannot be told
}
