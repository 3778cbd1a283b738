package ctl

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// codeRow is one row of the table of result codes.
type codeRow struct {
	Code    string `json:"code"`
	Name    string `json:"name"`
	Status  int    `json:"httpStatus"`
	Outcome string `json:"outcome"`
	Meaning string `json:"meaning"`
}

type codeTable []codeRow

func (t codeTable) grid() grid {
	g := grid{header: []string{"CODE", "NAME", "HTTP", "OUTCOME", "MEANING"}}
	for _, r := range t {
		g.rows = append(g.rows, []string{r.Code, r.Name, fmt.Sprint(r.Status), r.Outcome, r.Meaning})
	}
	return g
}

func codes() codeTable {
	var t codeTable
	for _, i := range result.Table {
		t = append(t, codeRow{i.Code.String(), i.Name, i.Status, i.Outcome.String(), i.Meaning})
	}
	return t
}

// CodesPage returns docs/RESULT-CODES.md.
func CodesPage() string {
	var b strings.Builder
	b.WriteString(`# Result codes

Every refusal and failure carries one of these codes. Numbers are never reused.
The thousands digit names the part: 1 bad input, 2 access, 3 capacity and
availability, 4 delivery, 5 platform, 6 configuration, 7 orders and leases,
8 settings and command line.

The outcome says whether the request ran: ` + "`not_run`" + ` (it did not and never
will), ` + "`unknown`" + ` (it may have), ` + "`ran`" + ` (it did, whole or in part). An answer may
carry another outcome than the table's when more is known.

This page is printed by ` + "`tarragonctl codes --page`" + `; a test keeps both equal.

| code | name | HTTP | outcome | meaning |
|---|---|---|---|---|
`)
	for _, r := range codes() {
		status := fmt.Sprint(r.Status)
		if text := http.StatusText(r.Status); text != "" {
			status += " " + text
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s | `%s` | %s |\n", r.Code, r.Name, status, r.Outcome, r.Meaning)
	}
	b.WriteString("\n## Exit codes of tarragonctl\n\n| code | meaning |\n|---|---|\n")
	for code, meaning := range ExitMeanings {
		fmt.Fprintf(&b, "| %d | %s |\n", code, meaning)
	}
	return b.String()
}

func (a *app) codesCommand() *cobra.Command {
	var page bool
	cmd := &cobra.Command{
		Use:   "codes",
		Short: "Print the table of result codes",
		Args:  exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			if page {
				_, err := io.WriteString(a.Out, CodesPage())
				return err
			}
			return a.print(codes())
		},
	}
	cmd.Flags().BoolVar(&page, "page", false, "print docs/RESULT-CODES.md")
	return cmd
}

// keyBytes is the length of a new key, in random bytes.
const keyBytes = 32

// maxKeyBytes bounds a key that is read, in bytes.
const maxKeyBytes = 4096

// keyView is a key and the hash that stands in the configuration.
type keyView struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash"`
}

func (k keyView) grid() grid {
	if k.Key == "" {
		return grid{rows: [][]string{{k.Hash}}}
	}
	return grid{rows: [][]string{{"key", k.Key}, {"hash", k.Hash}}}
}

func (a *app) keysCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "keys", Short: "Make and hash caller and admin keys"}
	cmd.AddCommand(&cobra.Command{
		Use:   "hash",
		Short: "Read a key from standard input and print the hash that is configured",
		Args:  exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			data, err := io.ReadAll(io.LimitReader(a.In, maxKeyBytes))
			if err != nil {
				return result.Wrap(err, result.ReadFailed, "the key cannot be read")
			}
			key := strings.TrimRight(string(data), "\r\n")
			if key == "" || strings.ContainsAny(key, " \t\r\n") {
				return result.New(result.BadUsage, "give one key without spaces on standard input")
			}
			return a.print(keyView{Hash: catalog.HashKey(key)})
		},
	}, &cobra.Command{
		Use:   "new",
		Short: "Print a new random key and its hash",
		Args:  exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			var b [keyBytes]byte
			if _, err := rand.Read(b[:]); err != nil {
				return err
			}
			key := "tb-" + hex.EncodeToString(b[:])
			return a.print(keyView{Key: key, Hash: catalog.HashKey(key)})
		},
	})
	return cmd
}
