// Command tarragonctl is the command line for operators of tarragonbay.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"tarragonbay.example/tarragonbay/internal/ctl"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := ctl.Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv, Now: time.Now}
	return ctl.Run(ctx, env, os.Args[1:])
}
