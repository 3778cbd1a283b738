package callerapi

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"tarragonbay.example/tarragonbay/internal/result"
)

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one name that may stand in the model field.
type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelItem(name string) modelItem {
	return modelItem{ID: name, Object: "model", OwnedBy: "tarragonbay"}
}

// models serves GET /v1/models: what the organisation may use.
func (h *handler) models(req *request) *fieldError {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range req.index.names(req.org) {
		list.Data = append(list.Data, newModelItem(name))
	}
	return writeJSON(req, list)
}

// model serves GET /v1/models/NAME.
func (h *handler) model(req *request) *fieldError {
	name := strings.TrimPrefix(req.URL.Path, pathModels+"/")
	if !slices.Contains(req.index.names(req.org), name) {
		return plain(result.UnknownModel, "no model, version or cascade of the organisation has this name")
	}
	return writeJSON(req, newModelItem(name))
}

func writeJSON(req *request, v any) *fieldError {
	data, err := json.Marshal(v)
	if err != nil {
		return &fieldError{err: result.From(err)}
	}
	req.w.Header().Set("Content-Type", contentJSON)
	req.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	req.w.extend()
	req.w.WriteHeader(http.StatusOK)
	_ = req.w.writeAll(data) // a caller that is gone cannot be told
	return nil
}
