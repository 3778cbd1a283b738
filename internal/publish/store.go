package publish

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Keys of the configuration in the table service.
const (
	HeadKey     = "config/head"
	deltaPrefix = "config/delta/"
)

// DeltaKey returns the key of a revision's delta; keys sort by revision.
func DeltaKey(revision uint64) string { return fmt.Sprintf("%s%020d", deltaPrefix, revision) }

// The bounds of the store's rows.
const (
	// maxInlineDelta is the size of a delta that fits into its row; a larger
	// one goes into the object store.
	maxInlineDelta = 64 << 10
	// scanLimit is how many rows are asked for at a time.
	scanLimit = 200
	// maxSnapshotBytes bounds a snapshot once it is unpacked.
	maxSnapshotBytes = 1 << 30
)

// Head is the row that names the revision in force. It is the only row that
// a publication competes for.
type Head struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	History  string `json:"history"`
	// Snapshots are the two newest snapshots, the newest first.
	Snapshots []SnapshotRef `json:"snapshots,omitempty"`
	// Oldest is the lowest revision whose delta is still kept.
	Oldest uint64 `json:"oldest"`

	Author      string `json:"author,omitempty"`
	AtMs        int64  `json:"atMs,omitempty"`
	OperationID string `json:"operationId"`
	// RowVersion is the version of the row as read; it is not stored.
	RowVersion uint64 `json:"-"`
}

// SnapshotRef names a snapshot in the object store.
type SnapshotRef struct {
	Revision uint64 `json:"revision"`
	// Name ends in the hex SHA-256 of the object's bytes.
	Name string `json:"name"`
}

// deltaRow is the value of a delta's row: the delta itself, or the name of
// the object that holds it.
type deltaRow struct {
	Inline []byte `json:"inline,omitempty"`
	Object string `json:"object,omitempty"`
}

// Store reads and writes revisions in the platform's services.
type Store struct {
	Table   ports.Table
	Objects ports.Objects
}

// Head reads the head. It reports false before the first publication.
func (s Store) Head(ctx context.Context) (Head, bool, error) {
	row, ok, err := s.Table.Get(ctx, HeadKey)
	if err != nil || !ok {
		return Head{}, false, err
	}
	h, err := parseHead(row)
	return h, err == nil, err
}

func parseHead(row ports.Row) (Head, error) {
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, result.Wrap(err, result.DeltaBroken, "the head cannot be read")
	}
	h.RowVersion = row.Version
	return h, nil
}

// Deltas reads the deltas of the revisions after one and up to another, both
// within one history, in order and without a gap.
func (s Store) Deltas(ctx context.Context, after, upTo uint64) ([]*linkv1.Delta, error) {
	var out []*linkv1.Delta
	for want := after + 1; want <= upTo; {
		rows, err := s.Table.Scan(ctx, DeltaKey(want), DeltaKey(upTo+1), scanLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			d, err := s.decodeDelta(ctx, row)
			if err != nil {
				return nil, err
			}
			if d.GetRevision() != want {
				return nil, result.New(result.DeltaBroken, "the delta of revision %d is missing", want)
			}
			out = append(out, d)
			want++
		}
		if len(rows) == 0 {
			return nil, result.New(result.DeltaBroken, "the delta of revision %d is missing", want)
		}
	}
	return out, nil
}

func (s Store) decodeDelta(ctx context.Context, row ports.Row) (*linkv1.Delta, error) {
	var r deltaRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, result.Wrap(err, result.DeltaBroken, "row %s cannot be read", row.Key)
	}
	data := r.Inline
	if r.Object != "" {
		var err error
		if data, err = s.getObject(ctx, r.Object); err != nil {
			return nil, err
		}
	}
	d := &linkv1.Delta{}
	if err := proto.Unmarshal(data, d); err != nil {
		return nil, result.Wrap(err, result.DeltaBroken, "row %s cannot be read", row.Key)
	}
	return d, nil
}

// encodeDelta returns the value of a delta's row. A large delta is put into
// the object store first.
func (s Store) encodeDelta(ctx context.Context, d *linkv1.Delta) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return nil, errors.Trace(err)
	}
	row := deltaRow{Inline: data}
	if len(data) > maxInlineDelta {
		name, err := s.putObject(ctx, "delta-", data)
		if err != nil {
			return nil, err
		}
		row = deltaRow{Object: name}
	}
	return json.Marshal(row)
}

// PutSnapshot stores a snapshot of the state under the digest of its bytes.
func (s Store) PutSnapshot(ctx context.Context, state State) (SnapshotRef, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshotOf(state))
	if err != nil {
		return SnapshotRef{}, errors.Trace(err)
	}
	name, err := s.putObject(ctx, "snapshot-", data)
	return SnapshotRef{Revision: state.Revision, Name: name}, err
}

// Snapshot reads a snapshot and checks both its digests.
func (s Store) Snapshot(ctx context.Context, ref SnapshotRef, history string) (State, error) {
	data, err := s.getObject(ctx, ref.Name)
	if err != nil {
		return State{}, err
	}
	m := &linkv1.Snapshot{}
	if err := proto.Unmarshal(data, m); err != nil {
		return State{}, result.Wrap(err, result.ObjectDamaged, "object %s cannot be read", ref.Name)
	}
	return fromSnapshot(m, history)
}

// putObject packs the data and stores it under the digest of the result.
func (s Store) putObject(ctx context.Context, prefix string, data []byte) (string, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(data); err != nil {
		return "", errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return "", errors.Trace(err)
	}
	sum := sha256.Sum256(packed.Bytes())
	name := prefix + hex.EncodeToString(sum[:])
	return name, s.Objects.PutIfAbsent(ctx, name, packed.Bytes())
}

// getObject reads an object, checks it against its name and unpacks it.
func (s Store) getObject(ctx context.Context, name string) ([]byte, error) {
	packed, err := s.Objects.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(packed)
	if !strings.HasSuffix(name, hex.EncodeToString(sum[:])) {
		return nil, result.New(result.ObjectDamaged, "object %s does not match its name", name)
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, result.Wrap(err, result.ObjectDamaged, "object %s cannot be unpacked", name)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes))
	if err != nil {
		return nil, result.Wrap(err, result.ObjectDamaged, "object %s cannot be unpacked", name)
	}
	return data, nil
}

// Load returns the state that the head names, from the newest snapshot that
// can be read and the deltas after it. intact reports that the newest
// snapshot itself could be read.
func (s Store) Load(ctx context.Context, h Head) (state State, intact bool, err error) {
	intact = true
	for _, ref := range h.Snapshots {
		state, err = s.loadFrom(ctx, h, ref)
		if err == nil {
			return state, intact, nil
		}
		if !damaged(err) {
			return State{}, false, err
		}
		intact = false
	}
	if h.Oldest != 1 {
		if err == nil {
			err = result.New(result.ObjectMissing, "no snapshot leads to revision %d", h.Revision)
		}
		return State{}, false, err
	}
	first, err := empty(h.History)
	if err != nil {
		return State{}, false, err
	}
	state, err = s.follow(ctx, h, first)
	return state, intact, err
}

func damaged(err error) bool {
	return result.Is(err, result.ObjectMissing) || result.Is(err, result.ObjectDamaged)
}

func (s Store) loadFrom(ctx context.Context, h Head, ref SnapshotRef) (State, error) {
	base, err := s.Snapshot(ctx, ref, h.History)
	if err != nil {
		return State{}, err
	}
	return s.follow(ctx, h, base)
}

// follow applies the deltas between the state and the head.
func (s Store) follow(ctx context.Context, h Head, from State) (State, error) {
	deltas, err := s.Deltas(ctx, from.Revision, h.Revision)
	if err != nil {
		return State{}, err
	}
	state, err := from.next(deltas)
	if err != nil {
		return State{}, err
	}
	if state.Digest != h.Digest {
		return State{}, result.New(result.DeltaBroken, "revision %d does not have the head's digest", h.Revision)
	}
	return state, nil
}
