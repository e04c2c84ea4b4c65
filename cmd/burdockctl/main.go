// Command burdockctl is the command-line tool for the operators of burdockward. Package ctl has its
// commands, flags and output.
package main

import (
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/burdockward/burdockward/configuration"
	"github.com/burdockward/burdockward/ctl"
	"github.com/burdockward/burdockward/tableservice"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &ctl.App{
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Open:   open,
		Now:    time.Now,
		NewID:  rand.Text,
		Wait:   configuration.Sleep,
		Admin:  ctl.AdminClient{HTTP: &http.Client{Transport: &http.Transport{Proxy: nil}}},
	}
	os.Exit(app.Run(ctx, os.Args[1:]))
}

// open makes a client of the platform's table service at a URL.
func open(url string) (ctl.Platform, error) {
	client, err := tableservice.New(tableservice.Options{URL: url})
	if err != nil {
		return nil, err
	}
	return client, nil
}
