// Package platform is a small HTTP server that stands in for the platform in
// tests and in the development mode. It serves the in-memory fake and lets an
// operator switch faults on an administration path. It is no part of a
// production deployment.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/ports/wire"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Server serves one fake platform.
type Server struct {
	platform *fake.Platform

	mu     sync.Mutex
	backup *fake.Backup
}

// New returns a server of the platform.
func New(p *fake.Platform) *Server {
	return &Server{platform: p, backup: p.Table.Backup()}
}

// The limits of the server.
const (
	readHeaderTimeout = 5 * time.Second
	stopTimeout       = time.Second
	maxBodyBytes      = 256 << 20
)

// Serve answers on the listener until the context ends. It closes the
// listener.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if srv.Shutdown(stopCtx) != nil {
			_ = srv.Close()
		}
	}()
	err := srv.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "platform stand-in")
	}
	<-stopped
	return nil
}

// Handler returns the routes of all services and of the administration.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	s.handleTable(mux)
	s.handleObjects(mux)
	s.handleOthers(mux)
	s.handleAdmin(mux)
	return mux
}

// handle routes POST calls with a JSON body to a typed function.
func handle[In, Out any](mux *http.ServeMux, path string, f func(context.Context, In) (Out, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in); err != nil {
			reply(w, nil, result.Wrap(err, result.BadJSON, "the body is not valid JSON"))
			return
		}
		out, err := f(r.Context(), in)
		reply(w, out, err)
	})
}

// reply writes the answer or the error. A reply that the fake declared lost
// cuts the connection.
func reply(w http.ResponseWriter, out any, err error) {
	if result.Is(err, result.TableUnknown) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(result.From(err).Code.HTTPStatus())
		out = wire.FromError(err)
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Server) handleTable(mux *http.ServeMux) {
	t := s.platform.Table
	handle(mux, wire.PathTableGet, func(ctx context.Context, in wire.KeyRequest) (wire.RowResponse, error) {
		row, found, err := t.Get(ctx, in.Key)
		return wire.RowResponse{Found: found, Row: row}, err
	})
	handle(mux, wire.PathTableScan, func(ctx context.Context, in wire.ScanRequest) (wire.ScanResponse, error) {
		rows, err := t.Scan(ctx, in.From, in.To, in.Limit)
		return wire.ScanResponse{Rows: rows}, err
	})
	handle(mux, wire.PathTableCommit, func(ctx context.Context, in ports.Txn) (wire.Empty, error) {
		// A caller that goes away does not stop a commit under way.
		return wire.Empty{}, t.Commit(context.WithoutCancel(ctx), in)
	})
	handle(mux, wire.PathTableApplied, func(ctx context.Context, in wire.AppliedRequest) (wire.AppliedResponse, error) {
		applied, err := t.Applied(ctx, in.OperationID)
		return wire.AppliedResponse{Applied: applied}, err
	})
}

func (s *Server) handleObjects(mux *http.ServeMux) {
	o := s.platform.Objects
	mux.HandleFunc("PUT "+wire.PathObjects+"{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err == nil {
			err = o.PutIfAbsent(r.Context(), r.PathValue("name"), data)
		}
		reply(w, wire.Empty{}, err)
	})
	mux.HandleFunc("GET "+wire.PathObjects+"{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := o.Get(r.Context(), r.PathValue("name"))
		if err != nil {
			reply(w, nil, err)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(data)
	})
	mux.HandleFunc("DELETE "+wire.PathObjects+"{name...}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, wire.Empty{}, o.Delete(r.Context(), r.PathValue("name")))
	})
}

func (s *Server) handleOthers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+wire.PathHosts, func(w http.ResponseWriter, r *http.Request) {
		hosts, err := s.platform.Hosts.List(r.Context())
		reply(w, wire.HostsResponse{Hosts: hosts}, err)
	})
	handle(mux, wire.PathRatingsSubmit, func(ctx context.Context, in ports.Sample) (wire.Empty, error) {
		return wire.Empty{}, s.platform.Ratings.Submit(ctx, in)
	})
	handle(mux, wire.PathRatingsSince, func(ctx context.Context, in wire.SinceRequest) (wire.SinceResponse, error) {
		ratings, next, err := s.platform.Ratings.Since(ctx, in.Cursor, in.Limit)
		return wire.SinceResponse{Ratings: ratings, Next: next}, err
	})
	handle(mux, wire.PathWeights, func(ctx context.Context, in wire.ReserveRequest) (wire.Empty, error) {
		return wire.Empty{}, s.platform.Weights.Reserve(ctx, in.Version)
	})
}
