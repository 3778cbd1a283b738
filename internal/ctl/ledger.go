package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/ledger"
	"tarragonbay.example/tarragonbay/internal/result"
)

// defaultLedgerSpan is the time that the ledger command looks back.
const defaultLedgerSpan = time.Hour

// billed is what organisations owe, summed up or request by request.
type billed struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Sums are for each organisation and version or service.
	Sums []ledger.Sum `json:"sums,omitempty"`
	// Requests are the charges of one request.
	Requests []ledger.Billed `json:"requests,omitempty"`
}

func (b billed) grid() grid {
	if len(b.Requests) > 0 {
		return requestGrid(b.Requests)
	}
	g := grid{header: []string{"ORGANISATION", "TARGET", "CHARGES", "INPUT", "OUTPUT", "MICROS"}}
	for _, s := range b.Sums {
		g.rows = append(g.rows, append([]string{s.Organisation}, sumCells(s)...))
	}
	return g
}

func requestGrid(requests []ledger.Billed) grid {
	g := grid{header: []string{"REQUEST", "STEP", "ORGANISATION", "TARGET", "CHARGES", "INPUT", "OUTPUT", "MICROS"}}
	for _, r := range requests {
		cells := []string{r.RequestID, fmt.Sprint(r.Step), r.Organisation}
		g.rows = append(g.rows, append(cells, sumCells(r.Sum)...))
	}
	return g
}

func sumCells(s ledger.Sum) []string {
	target := s.Version
	if target == "" {
		target = "service " + s.Service
	}
	return []string{target, fmt.Sprint(s.Charges), fmt.Sprint(s.InputTokens), fmt.Sprint(s.OutputTokens), fmt.Sprint(s.Micros)}
}

func (a *app) ledgerCommand() *cobra.Command {
	var span time.Duration
	var organisation, request string
	cmd := &cobra.Command{
		Use:   "ledger",
		Short: "Show what was billed",
		Long: fmt.Sprintf(`Show what was billed, by organisation and version or service, or for one
request. Costs are in millionths of the accounting unit. Requests count %v
after they were made; single requests are kept for %v, sums for good.`, ledger.FoldAfter, ledger.Retention),
		Args: exactArgs(),
		RunE: a.within(func(ctx context.Context, _ []string) error {
			if span <= 0 {
				return result.New(result.BadUsage, "--since must be greater than 0")
			}
			store, err := a.store()
			if err != nil {
				return err
			}
			folder := ledger.NewFolder(ledger.FolderOptions{Table: store.Table, Objects: store.Objects, Now: a.Now, NewID: uuid.NewString})
			if request != "" {
				return a.printRequest(ctx, folder, request)
			}
			return a.printSums(ctx, folder, span, organisation)
		}),
	}
	cmd.Flags().DurationVar(&span, "since", defaultLedgerSpan, "how far to look back")
	cmd.Flags().StringVar(&organisation, "organisation", "", "show one organisation only")
	cmd.Flags().StringVar(&request, "request", "", "show one request, by its X-Tarragonbay-Request-Id")
	return cmd
}

func (a *app) printSums(ctx context.Context, folder *ledger.Folder, span time.Duration, organisation string) error {
	out := billed{From: a.Now().Add(-span), To: a.Now().Add(time.Minute)}
	sums, err := folder.Sums(ctx, out.From, out.To)
	if err != nil {
		return err
	}
	out.Sums = []ledger.Sum{}
	for _, s := range sums {
		if organisation == "" || s.Organisation == organisation {
			out.Sums = append(out.Sums, s)
		}
	}
	return a.print(out)
}

// printRequest finds a request by the time that its ID carries.
func (a *app) printRequest(ctx context.Context, folder *ledger.Folder, requestID string) error {
	minted := ledger.GeneratedID(requestID)
	id, err := uuid.Parse(minted)
	if err != nil || id.Version() != uuidVersion {
		return result.New(result.BadUsage, "%q does not end with a request ID of the product", requestID)
	}
	sec, nsec := id.Time().UnixTime()
	made := time.Unix(sec, nsec)
	out := billed{From: made, To: made.Add(time.Minute)}
	err = folder.EachCharge(ctx, out.From, out.To, func(b ledger.Billed) error {
		if b.RequestID == minted {
			out.Requests = append(out.Requests, b)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if len(out.Requests) == 0 {
		return result.New(result.ObjectNotFound, "nothing is billed for request %s yet, or it is no longer kept", minted)
	}
	return a.print(out)
}

// uuidVersion of the IDs that the product mints.
const uuidVersion = 7
