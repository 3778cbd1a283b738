package platform

import (
	"context"
	"net/http"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/ports/wire"
)

// handleAdmin routes the administration: faults, counters, backups and hosts.
func (s *Server) handleAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET "+wire.PathAdminFaults, func(w http.ResponseWriter, _ *http.Request) {
		reply(w, s.platform.Faults(), nil)
	})
	handle(mux, wire.PathAdminFaults, func(_ context.Context, in fake.Faults) (wire.Empty, error) {
		s.platform.SetFaults(in)
		return wire.Empty{}, nil
	})
	mux.HandleFunc("GET "+wire.PathAdminCounters, func(w http.ResponseWriter, _ *http.Request) {
		reply(w, s.platform.Counters(), nil)
	})
	handle(mux, wire.PathAdminBackup, func(context.Context, wire.Empty) (wire.Empty, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.backup = s.platform.Table.Backup()
		return wire.Empty{}, nil
	})
	handle(mux, wire.PathAdminRestore, func(context.Context, wire.Empty) (wire.Empty, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.platform.Table.Restore(s.backup)
		return wire.Empty{}, nil
	})
	handle(mux, wire.PathAdminHosts, func(_ context.Context, in ports.HostState) (wire.Empty, error) {
		s.platform.Hosts.Put(in)
		return wire.Empty{}, nil
	})
	mux.HandleFunc("DELETE "+wire.PathAdminHosts+"/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.platform.Hosts.Remove(r.PathValue("name"))
		reply(w, wire.Empty{}, nil)
	})
}
