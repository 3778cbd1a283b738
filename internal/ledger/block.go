package ledger

import (
	"slices"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// servicePrefix marks a charge target that is a service instead of a model
// version.
const servicePrefix = "service/"

// entry is one charge or, without a key, a sum of count charges.
type entry struct {
	key          key
	organisation string
	target       string
	count        uint64
	input        uint64
	output       uint64
	micros       uint64
}

func newEntry(c *linkv1.Charge) entry {
	target := c.GetVersion()
	if c.GetService() != "" {
		target = servicePrefix + c.GetService()
	}
	return entry{
		key: keyOf(c), organisation: c.GetOrganisation(), target: target, count: 1,
		input: c.GetInputTokens(), output: c.GetOutputTokens(), micros: c.GetMicros(),
	}
}

// nameTable assigns an index to each distinct name of a block.
type nameTable struct {
	list  []string
	index map[string]uint32
}

func (n *nameTable) indexOf(name string) uint32 {
	if i, ok := n.index[name]; ok {
		return i
	}
	i := uint32(len(n.list))
	n.index[name] = i
	n.list = append(n.list, name)
	return i
}

// newBlock encodes the entries as a block of charges, or as a block of sums if
// sums is set.
func newBlock(entries []entry, sums bool) *linkv1.ChargeBlock {
	b := &linkv1.ChargeBlock{}
	n := nameTable{index: map[string]uint32{}}
	for _, e := range entries {
		b.Organisations = append(b.Organisations, n.indexOf(e.organisation))
		b.Targets = append(b.Targets, n.indexOf(e.target))
		b.InputTokens = append(b.InputTokens, e.input)
		b.OutputTokens = append(b.OutputTokens, e.output)
		b.Micros = append(b.Micros, e.micros)
		if sums {
			b.Counts = append(b.Counts, e.count)
			continue
		}
		b.Ids = append(b.Ids, e.key.id[:]...)
		b.Steps = append(b.Steps, e.key.step)
	}
	b.Names = n.list
	return b
}

var errBlockColumns = errors.New("block of charges has columns that do not fit together")

// blockEntries returns the charges or sums of a block.
func blockEntries(b *linkv1.ChargeBlock) ([]entry, error) {
	n := len(b.GetOrganisations())
	sums := len(b.GetCounts()) > 0
	fits := len(b.GetTargets()) == n && len(b.GetInputTokens()) == n &&
		len(b.GetOutputTokens()) == n && len(b.GetMicros()) == n
	if sums {
		fits = fits && len(b.GetCounts()) == n
	} else {
		fits = fits && len(b.GetSteps()) == n && len(b.GetIds()) == n*len(id{})
	}
	if !fits {
		return nil, errBlockColumns
	}
	out := make([]entry, n)
	for i := range out {
		org, target := b.Organisations[i], b.Targets[i]
		if int(max(org, target)) >= len(b.GetNames()) {
			return nil, errBlockColumns
		}
		e := entry{
			organisation: b.Names[org], target: b.Names[target], count: 1,
			input: b.InputTokens[i], output: b.OutputTokens[i], micros: b.Micros[i],
		}
		if sums {
			e.count = b.Counts[i]
		} else {
			e.key = key{id: id(b.Ids[i*len(id{}):]), step: b.Steps[i]}
		}
		out[i] = e
	}
	return out, nil
}

func encode(m proto.Message) []byte {
	out, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshalling fails only for strings that are not UTF-8, and names
		// come from a validated configuration.
		panic(err)
	}
	return out
}

func decodeBlock(raw []byte) (*linkv1.ChargeBlock, []entry, error) {
	b := new(linkv1.ChargeBlock)
	if err := proto.Unmarshal(raw, b); err != nil {
		return nil, nil, errors.Annotate(err, "block of charges")
	}
	entries, err := blockEntries(b)
	return b, entries, err
}

// sumByAccount returns the sum of the entries for each organisation and
// target, sorted by both.
func sumByAccount(entries []entry) []entry {
	type account struct{ organisation, target string }
	sums := map[account]*entry{}
	for _, e := range entries {
		a := account{e.organisation, e.target}
		s := sums[a]
		if s == nil {
			s = &entry{organisation: e.organisation, target: e.target}
			sums[a] = s
		}
		s.count += e.count
		s.input += e.input
		s.output += e.output
		s.micros += e.micros
	}
	out := make([]entry, 0, len(sums))
	for _, s := range sums {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b entry) int {
		if c := strings.Compare(a.organisation, b.organisation); c != 0 {
			return c
		}
		return strings.Compare(a.target, b.target)
	})
	return out
}
