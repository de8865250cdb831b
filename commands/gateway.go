package commands

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/platform"
	"github.com/wagtailspar/wagtailspar/waghangup"
	"github.com/wagtailspar/wagtailspar/waghost"
	"github.com/wagtailspar/wagtailspar/waglog"
	"github.com/wagtailspar/wagtailspar/wagmetrics"
)

// reloadTime is how often the settings file is looked at, because it may change
// without a signal.
const reloadTime = 2 * time.Second

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  waghangup.Command,
		Usage: "run one entry host on the platform, with the settings file that " + platform.SettingsFileEnv + " names",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Usage: "`LEVEL` from which lines are written: info (every decision) or warning", Value: "info"},
			&cli.FloatFlag{Name: "log-rate", Usage: "bound on the lines of each kind, in `LINES` a second; what is beyond is counted", Value: waglog.DefaultRate},
		},
		Action: func(ctx context.Context, c *cli.Command) (err error) {
			defer func() { err = errors.WithMessage(err, "gateway") }()
			logOptions, err := logOptions(c.String("log-level"), c.Float("log-rate"))
			if err != nil {
				return err
			}
			// Taken to the last moment: the usual effect of the signal is to end the process,
			// also in the middle of a planned stop.
			hangUps := waghangup.Signals()
			file := os.Getenv(platform.SettingsFileEnv)
			s, err := platform.LoadSettings(file)
			if err != nil {
				return err
			}
			log := waglog.New(os.Stdout, s.Host, logOptions...)
			metrics := wagmetrics.NewSiteMetrics()
			// The platform announces a planned stop again when two of them overlap, and
			// ends the process itself after the grace.
			ctx, stop := untilSignal(ctx, syscall.SIGTERM)
			defer stop()
			h := waghost.NewSiteHost(s.SiteSettings(), platform.NewStore(s.Store.Address, platform.WithObserver(metrics.CountStoreCall)), platform.ObjectDecoder{}, platform.Protocol{},
				waghost.WithSiteLog(log), waghost.WithSiteMetrics(metrics))
			// The planned stop is logged as well.
			running, end := context.WithCancel(context.WithoutCancel(ctx))
			defer end()
			var g errgroup.Group
			g.Go(func() error {
				reloadSettings(running, hangUps, file, h, log)
				return nil
			})
			g.Go(func() error { return log.Run(running) })
			err = h.Run(ctx)
			end()
			_ = g.Wait() // always nil
			return err
		},
	}
}

// maxLogRate bounds the lines of each kind, a second: at 300 bytes a line it is 3 MB.
const maxLogRate = 10_000

// logOptions checks the flags of the log.
func logOptions(level string, rate float64) (opts []waglog.Option, err error) {
	levels := map[string]logrus.Level{"info": logrus.InfoLevel, "warning": logrus.WarnLevel}
	l, ok := levels[level]
	if !ok {
		return nil, errors.Errorf("flag --log-level: %q (allowed: info, warning)", level)
	}
	if !(rate >= 1 && rate <= maxLogRate) {
		return nil, errors.Errorf("flag --log-rate: %g (allowed: 1 to %d)", rate, maxLogRate)
	}
	return []waglog.Option{waglog.WithLevel(l), waglog.WithRate(rate)}, nil
}

// reloadSettings puts changes of the settings file in force until ctx ends. A file
// that is not valid changes nothing.
func reloadSettings(ctx context.Context, hangUps <-chan os.Signal, file string, h *waghost.SiteHost, log *waglog.Log) {
	ticker := time.NewTicker(reloadTime)
	defer ticker.Stop()
	var failed string
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			log.Info(waglog.KindHost, waglog.Fields{"event": "hangUp"})
			failed = ""
		case <-ticker.C:
		}
		s, err := platform.LoadSettings(file)
		if err != nil {
			if err.Error() != failed {
				log.Warn(waglog.KindHost, waglog.Fields{"event": "reload", "error": err.Error(), "reason": "the former settings stay in force"})
			}
			failed = err.Error()
			continue
		}
		failed = ""
		h.Reload(s.SiteSettings())
	}
}
