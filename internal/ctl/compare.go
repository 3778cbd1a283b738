package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"tarragonbay.example/tarragonbay/internal/compare"
	"tarragonbay.example/tarragonbay/internal/losses"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/platform/report"
)

// Defaults and limits of a comparison.
const (
	defaultCompareJobs = 3
	maxSites           = 20
	// revisionCount is the number of revisions that are compared.
	revisionCount = 2
)

// comparison is one run of the command: two revisions on the users' bench.
type comparison struct {
	*app
	bench     string
	revisions []string
	days      []string
	seeds     []string
	noCPU     bool
	jobs      int
	folder    string
	plot      string
	why       string

	mu   sync.Mutex // guards done and the progress lines
	done int
}

func (a *app) compareCommand() *cobra.Command {
	c := &comparison{app: a}
	cmd := &cobra.Command{
		Use:   "compare --bench FILE --revision OLD --revision NEW SITE...",
		Short: "Play the same days with two revisions on the users' bench and compare their worth",
		Long: "Builds both revisions in worktrees of their own and plays the same days with the same seeds.\n" +
			"Reports are kept in --dir: after a stop, the same command goes on where it was.",
		Args: rangeArgs(1, maxSites),
		RunE: func(cmd *cobra.Command, args []string) error { return c.run(cmd.Context(), args) },
	}
	f := cmd.Flags()
	f.StringVar(&c.bench, "bench", "", "the program of the bench")
	f.StringArrayVar(&c.revisions, "revision", nil, "a git revision; two are needed, the older one first")
	f.StringSliceVar(&c.days, "days", nil, "names of standard days; all unless set")
	f.StringSliceVar(&c.seeds, "seeds", nil, "seeds of each day; the day's own unless set")
	f.BoolVar(&c.noCPU, "no-cpu", false, "charge no processor time, so that plays mostly repeat")
	f.IntVar(&c.jobs, "jobs", defaultCompareJobs, "plays at a time")
	f.StringVar(&c.folder, "dir", "", "folder for worktrees and reports")
	f.StringVar(&c.plot, "plot", "", "also write an SVG plot to this file")
	f.StringVar(&c.why, "why", "", "purpose, for the journal of the bench")
	return cmd
}

// play is one day to be played by one revision.
type play struct {
	revision int
	pair     int
	tree     string
	file     string
	args     []string
}

func (c *comparison) run(ctx context.Context, sites []string) error {
	if err := c.check(); err != nil {
		return err
	}
	trees, names, err := c.build(ctx)
	if err != nil {
		return err
	}
	pairs, plays, err := c.plan(sites, trees, names)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.jobs)
	for _, p := range plays {
		group.Go(func() error {
			day, err := c.playDay(ctx, p, len(plays))
			if p.revision == 0 {
				pairs[p.pair].Old = day
			} else {
				pairs[p.pair].New = day
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return c.write(compare.Summarize(pairs))
}

func (c *comparison) check() error {
	switch info, err := os.Stat(c.bench); {
	case c.bench == "":
		return result.New(result.BadUsage, "--bench must name the program of the bench")
	case err != nil || info.IsDir():
		return result.New(result.BadUsage, "--bench: there is no program %q", c.bench)
	case len(c.revisions) != revisionCount:
		return result.New(result.BadUsage, "--revision must be given twice, not %d times", len(c.revisions))
	case c.folder == "":
		return result.New(result.BadUsage, "--dir must name a folder for worktrees and reports")
	case c.jobs < 1:
		return result.New(result.BadUsage, "--jobs must be 1 or more")
	}
	for _, seed := range c.seeds {
		if _, err := strconv.ParseUint(seed, 10, 64); err != nil {
			return result.New(result.BadUsage, "--seeds: %q is no seed", seed)
		}
	}
	return nil
}

// build checks the revisions out and builds each of them.
func (c *comparison) build(ctx context.Context) (trees, names []string, err error) {
	if c.bench, err = filepath.Abs(c.bench); err != nil {
		return nil, nil, result.Wrap(err, result.BadUsage, "--bench")
	}
	for _, revision := range c.revisions {
		name, err := command(ctx, "", "git", "rev-parse", "--verify", "--short=12", revision+"^{commit}")
		if err != nil {
			return nil, nil, result.New(result.BadUsage, "--revision: %q is no commit here", revision)
		}
		tree, err := filepath.Abs(filepath.Join(c.folder, name))
		if err != nil {
			return nil, nil, result.Wrap(err, result.BadUsage, "--dir")
		}
		if _, err := os.Stat(tree); err != nil {
			if out, err := command(ctx, "", "git", "worktree", "add", "--detach", tree, name); err != nil {
				return nil, nil, result.New(result.ReadFailed, "no worktree of %s: %s", name, lastLine(out))
			}
		}
		c.progress("building %s", name)
		if out, err := command(ctx, tree, c.bench, "build"); err != nil {
			return nil, nil, result.New(result.ReadFailed, "%s does not build: %s", name, lastLine(out))
		}
		trees, names = append(trees, tree), append(names, name)
	}
	return trees, names, nil
}

// plan lists the pairs of days, and the plays that they need.
func (c *comparison) plan(sites, trees, names []string) (pairs []compare.Pair, plays []play, err error) {
	seeds := c.seeds
	if len(seeds) == 0 {
		seeds = []string{""}
	}
	for _, path := range sites {
		site, days, err := c.siteDays(path)
		if err != nil {
			return nil, nil, err
		}
		if path, err = filepath.Abs(path); err != nil {
			return nil, nil, result.Wrap(err, result.BadUsage, "a site file")
		}
		for _, day := range days {
			for _, seed := range seeds {
				number, _ := strconv.ParseUint(seed, 10, 64) // checked before; none is zero
				pairs = append(pairs, compare.Pair{Site: site, Day: day, Seed: number})
				for i, name := range names {
					file := filepath.Join(filepath.Dir(trees[i]), strings.Join([]string{name, site, day, seed, "json"}, "."))
					args := []string{"run", path, day, "--jobs", "1", "--report", file, "--why", c.why}
					if seed != "" {
						args = append(args, "--seed", seed)
					}
					if c.noCPU {
						args = append(args, "--no-cpu")
					}
					plays = append(plays, play{revision: i, pair: len(pairs) - 1, tree: trees[i], file: file, args: args})
				}
			}
		}
	}
	return pairs, plays, nil
}

// siteDays returns the name of a site and the days that are played there.
func (c *comparison) siteDays(path string) (name string, days []string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", nil, result.Wrap(err, result.ReadFailed, "the site file cannot be read")
	}
	site, err := report.ReadSite(text)
	if err != nil || len(c.days) == 0 {
		return site.Name, site.Days, err
	}
	return site.Name, c.days, nil
}

// playDay plays a day, unless its report is there already.
func (c *comparison) playDay(ctx context.Context, p play, total int) (losses.Day, error) {
	text, err := os.ReadFile(p.file)
	if err != nil {
		out, runErr := command(ctx, p.tree, c.bench, p.args...)
		if text, err = os.ReadFile(p.file); err != nil {
			return losses.Day{}, result.New(result.ReadFailed, "no report of %s: %s (%v)", filepath.Base(p.file), lastLine(out), runErr)
		}
	}
	day, err := report.Read(text)
	if err == nil {
		c.progressDone("%d of %d: %s, worth %.3f", total, filepath.Base(p.file), day.Worth)
	}
	return day, err
}

func (c *comparison) write(r compare.Result) error {
	if c.plot != "" {
		if err := writePage(c.plot, func(w io.Writer) error { return compare.Plot(w, r) }); err != nil {
			return err
		}
	}
	if c.output == outputJSON {
		return c.print(comparisonRows(r))
	}
	return compare.Print(c.Out, r)
}

// comparisonRows is the JSON form of a comparison.
type comparisonRows compare.Result

func (comparisonRows) grid() grid { return grid{} }

func (c *comparison) progress(format string, args ...any) { fmt.Fprintf(c.Err, format+"\n", args...) }

// progressDone reports one more play, whose number comes first in the line.
func (c *comparison) progressDone(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done++
	c.progress(format, append([]any{c.done}, args...)...)
}

// command runs a program in a folder and returns what it wrote.
func command(ctx context.Context, folder, name string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = folder
	out, err := cmd.CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

// lastLine returns the last line of what a program wrote, which says why it ended.
func lastLine(out string) string { return out[strings.LastIndexByte(out, '\n')+1:] }
