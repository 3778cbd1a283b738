package ctl

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/losses"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/platform/report"
)

// maxReports bounds the reports that one command prints.
const maxReports = 100

func (a *app) lossesCommand() *cobra.Command {
	var folder string
	cmd := &cobra.Command{
		Use:   "losses REPORT...",
		Short: "Show where the worth of days went that were played on the users' bench",
		Args:  rangeArgs(1, maxReports),
		RunE:  func(_ *cobra.Command, args []string) error { return a.printLosses(args, folder) },
	}
	cmd.Flags().StringVar(&folder, "plot", "", "also write an SVG plot of each day to this folder")
	return cmd
}

func (a *app) printLosses(paths []string, folder string) error {
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return result.Wrap(err, result.ReadFailed, "the report cannot be read")
		}
		day, err := report.Read(text)
		if err != nil {
			return err
		}
		name := filepath.Base(path)
		if err := losses.Print(a.Out, name, day); err != nil {
			return result.Wrap(err, result.ReadFailed, "the losses cannot be printed")
		}
		if folder == "" {
			continue
		}
		file := filepath.Join(folder, strings.TrimSuffix(name, filepath.Ext(name))+".svg")
		if err := writePage(file, func(w io.Writer) error { return losses.Plot(w, name, day) }); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) roundsCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "rounds JOURNAL",
		Short: "Show the scores over the rounds in a journal of the users' bench",
		Args:  rangeArgs(1, 1),
		RunE:  func(_ *cobra.Command, args []string) error { return a.printRounds(args[0], file) },
	}
	cmd.Flags().StringVar(&file, "plot", "", "also write an SVG plot to this file")
	return cmd
}

func (a *app) printRounds(journal, file string) error {
	paths, err := filepath.Glob(filepath.Join(journal, "*.json"))
	if err != nil || len(paths) == 0 {
		return result.New(result.ReadFailed, "the folder %q holds no entries of a journal", journal)
	}
	var rounds []losses.Round
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return result.Wrap(err, result.ReadFailed, "an entry of the journal cannot be read")
		}
		r, ok, err := report.ReadRound(text)
		if err != nil {
			return errors.Annotate(err, filepath.Base(path))
		}
		if ok {
			rounds = append(rounds, r)
		}
	}
	if err := losses.PrintRounds(a.Out, rounds); err != nil {
		return result.Wrap(err, result.ReadFailed, "the rounds cannot be printed")
	}
	if file == "" {
		return nil
	}
	return writePage(file, func(w io.Writer) error { return losses.PlotRounds(w, rounds) })
}

// writePage writes a file with what draw makes of it, whole or not at all.
func writePage(path string, draw func(io.Writer) error) error {
	var page bytes.Buffer
	if err := draw(&page); err != nil {
		return result.Wrap(err, result.BadUsage, "nothing can be drawn")
	}
	if err := os.WriteFile(path, page.Bytes(), 0o644); err != nil {
		return result.Wrap(err, result.ReadFailed, "the file cannot be written")
	}
	return nil
}
