package commands

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/platform"
	"github.com/wagtailspar/wagtailspar/waggateway"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagowner"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsync"
	"github.com/wagtailspar/wagtailspar/wagupstream"
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run one entry host on the platform, with the settings file that " + platform.SettingsVariable + " names",
		Action: func(ctx context.Context, _ *cli.Command) (err error) {
			defer func() { err = errors.WithMessage(err, "gateway") }()
			s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}
			return runGateway(ctx, s)
		},
	}
}

func runGateway(ctx context.Context, s *platform.Settings) error {
	log := logrus.New()
	log.SetOutput(os.Stdout)
	owner := wagowner.New()
	pool := wagupstream.NewPool(platform.RequestIDHeader)
	gateway := waggateway.New(platform.Protocol{}, owner, pool, waggateway.WithLog(log))
	var mu sync.Mutex
	var sync *wagsync.Sync
	servers := make(map[string]wagserver.Instance)
	changed := func(records []wagmirror.Record) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range records {
			switch r.Kind {
			case platform.KindConfig:
				c, err := platform.DecodeConfig(r.Body)
				if err != nil {
					log.WithError(err).Warning("bad config")
					continue
				}
				log.WithField("version", c.Version).Info("in force")
				gateway.SetConfig(c)
			case platform.KindServers:
				delete(servers, r.Name)
				if !r.Deleted {
					i, err := platform.DecodeServer(r.Body, time.Now())
					if err != nil {
						log.WithError(err).Warning("bad server")
						continue
					}
					servers[r.Name] = i
				}
			}
		}
		var list []wagserver.Instance
		for _, i := range servers {
			list = append(list, i)
		}
		owner.SetServers(list)
	}
	sync = wagsync.New(platform.NewStore(s.Store.Address), changed, []string{platform.KindConfig, platform.KindServers}, wagsync.WithLog(log))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer stop()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sync.Run(gctx) })
	g.Go(func() error { return owner.Run(gctx) })
	front := &http.Server{Handler: gateway}
	ready := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !gateway.Ready() || gctx.Err() != nil {
			w.WriteHeader(503)
		}
	})}
	l, err := net.Listen("tcp", s.Callers.String())
	if err != nil {
		return err
	}
	l2, err := net.Listen("tcp", s.Readiness.String())
	if err != nil {
		return err
	}
	g.Go(func() error { return front.Serve(l) })
	g.Go(func() error { return ready.Serve(l2) })
	g.Go(func() error {
		<-gctx.Done()
		time.AfterFunc(3*time.Second, func() { _ = front.Shutdown(context.Background()); _ = ready.Close() })
		return nil
	})
	return g.Wait()
}
