package ctl

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/adminapi"
	"tarragonbay.example/tarragonbay/internal/explain"
	"tarragonbay.example/tarragonbay/internal/result"
)

// maxCostsShown bounds the upstreams in the table; the JSON form holds all.
const maxCostsShown = 12

// explainView is an explanation for people.
type explainView struct{ explain.Explanation }

func (v explainView) grid() grid {
	g := grid{}
	line := func(name, format string, args ...any) {
		g.rows = append(g.rows, []string{name, fmt.Sprintf(format, args...)})
	}
	line("verdict", "%s", v.verdict())
	line("route", "%s, configuration %d, confirmed %v ago", v.Route, v.Configuration, ms(v.Ages.Confirmed))
	line("service", "%s of %v", v.Service, v.Services)
	line("list", "read %v ago, %d of %d gateways heard", ms(v.Ages.List), v.Ages.GatewaysHeard, v.Ages.Gateways)
	if v.Held {
		line("share", "the organisation asks for more than its share of the service")
	}
	if v.Spread {
		line("spread", "the service is nearly full: the upstream is drawn, by slots")
	}
	if v.Filled {
		line("filled", "the fullest upstream of a new version is chosen")
	}
	if len(v.Costs) > 0 {
		g.rows = append(g.rows, []string{""}, []string{"UPSTREAM", "DOMAIN", "COST MS", "WORK", "UNREAD", "MEMORY", "FAILURES", "LEAVE", "SLOWDOWN", "STEADY", "RUNNING", "HOME"})
	}
	for _, c := range v.Costs[:min(len(v.Costs), maxCostsShown)] {
		g.rows = append(g.rows, []string{
			c.ID, c.Domain, number(c.Cost), number(c.Work), number(c.Unread), number(c.Memory), number(c.Failure), number(c.Leave),
			fmt.Sprintf("%.2f", c.Slowdown), fmt.Sprintf("%.2f", c.Steady), fmt.Sprintf("%d of %d", c.Running, c.Slots), fmt.Sprint(c.Home),
		})
	}
	if more := len(v.Costs) - maxCostsShown; more > 0 {
		g.rows = append(g.rows, []string{fmt.Sprintf("and %d more; --json shows all", more)})
	}
	for _, id := range sortedKeys(v.Excluded) {
		g.rows = append(g.rows, []string{id, "not used: " + v.Excluded[id]})
	}
	return g
}

func (v explainView) verdict() string {
	switch v.Verdict {
	case explain.Refused:
		return fmt.Sprintf("refused with %s: %s (come back after %v)", v.Code, v.Why, ms(v.RetryAfter))
	case explain.Waits:
		return fmt.Sprintf("waits %v, then goes to %s (version %s), expected %v", ms(v.Wait), v.Upstream, v.Version, ms(v.Expected))
	}
	model := ""
	if v.Model != "" {
		model = ", model " + v.Model
	}
	return fmt.Sprintf("goes to %s (version %s%s), expected %v", v.Upstream, v.Version, model, ms(v.Expected))
}

func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func number(n float64) string { return strconv.FormatFloat(n, 'f', 1, 64) }

func sortedKeys(m map[string]string) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (a *app) explainCommand() *cobra.Command {
	var q explain.Question
	var prompt []string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain IP:port --host HOST --path PATH",
		Short: "Show where a request would go now at a gateway, and why, without sending it",
		Args:  exactArgs("IP:port"),
		RunE: a.withDaemon(func(ctx context.Context, d *adminapi.Client, _ []string) error {
			if asJSON {
				a.output = outputJSON
			}
			parts, err := promptParts(prompt)
			if err != nil {
				return err
			}
			q.Prompt = parts
			if err := q.Check(); err != nil {
				return err
			}
			e, askErr := d.Explain(ctx, q)
			if askErr != nil {
				return askErr
			}
			return a.print(explainView{e})
		}),
	}
	f := cmd.Flags()
	f.StringVar(&q.Host, "host", "", "host of the request")
	f.StringVar(&q.Path, "path", "", "path of the request")
	f.StringVar(&q.Organisation, "organisation", "", "organisation of the caller")
	f.StringVar(&q.Model, "model", "", "model asked for; * leaves the choice to the gateway")
	f.StringVar(&q.Session, "session", "", "session of the request")
	f.StringSliceVar(&prompt, "prompt", nil, "parts of the prompt in order, each ID:TOKENS")
	f.IntVar(&q.PromptTokens, "prompt-tokens", 0, "tokens of the prompt, where no parts are given")
	f.IntVar(&q.MaxTokens, "max-tokens", 0, "largest size of the answer in tokens")
	f.IntVar(&q.ExpectedTokens, "expected-tokens", 0, "the caller's estimate of that size")
	f.DurationVar(&q.TimeLeft, "time-left", 0, "how long the caller waits; the route's timeout if 0")
	f.BoolVar(&asJSON, "json", false, "print JSON with all upstreams")
	return cmd
}

// promptParts parses parts of the form ID:TOKENS.
func promptParts(texts []string) ([]explain.Part, error) {
	var out []explain.Part
	for _, text := range texts {
		id, tokens, ok := strings.Cut(text, ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil || id == "" {
			return nil, result.New(result.BadUsage, "a part of the prompt is ID:TOKENS, not %q", text)
		}
		out = append(out, explain.Part{ID: id, Tokens: n})
	}
	return out, nil
}
