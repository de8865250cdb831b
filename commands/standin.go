package commands

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/wagstandin"
)

func standinCommand() *cli.Command {
	listen := func(defaultAddress string) cli.Flag {
		return &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` with port", Value: defaultAddress}
	}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for a part of the platform",
		Commands: []*cli.Command{
			{
				Name: "store", Usage: "object store", Flags: []cli.Flag{listen("127.0.0.1:7070")},
				Action: func(ctx context.Context, c *cli.Command) error {
					return serveStandin(ctx, c, wagstandin.NewStore().Handler())
				},
			},
			{
				Name: "hosts", Usage: "list of live and leaving servers", Flags: []cli.Flag{listen("127.0.0.1:7071")},
				Action: func(ctx context.Context, c *cli.Command) error {
					return serveStandin(ctx, c, wagstandin.NewHostList().Handler())
				},
			},
			{
				Name: "server", Usage: "backend server",
				Flags: []cli.Flag{
					listen("127.0.0.1:9001"),
					&cli.StringFlag{Name: "name", Usage: "`NAME` of the server in its answers", Value: "server"},
					&cli.IntFlag{Name: "slots", Usage: "`NUMBER` of requests that run at once", Value: 6},
					&cli.DurationFlag{Name: "work", Usage: "service `TIME` of requests that ask for none", Value: time.Millisecond},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					s := wagstandin.NewServer(c.String("name"), c.Int("slots"), wagstandin.WithServiceTime(c.Duration("work")))
					return serveStandin(ctx, c, s.Handler())
				},
			},
		},
	}
}

// serveStandin serves HTTP until a signal ends it. It first prints the address that it
// listens on, whose port is not known before if --listen asks for port 0.
func serveStandin(ctx context.Context, c *cli.Command, h http.Handler) (err error) {
	defer func() { err = errors.WithMessage(err, "run stand-in") }()
	a, err := netip.ParseAddrPort(c.String("listen"))
	if err != nil {
		return err
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.Root().Writer, "listening on %s\n", l.Addr()); err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-gctx.Done()
		return s.Close()
	})
	return g.Wait()
}
