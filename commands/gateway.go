package commands

import (
	"context"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/platform"
	"github.com/wagtailspar/wagtailspar/waghangup"
	"github.com/wagtailspar/wagtailspar/waghost"
	"github.com/wagtailspar/wagtailspar/waglimits"
	"github.com/wagtailspar/wagtailspar/waglog"
	"github.com/wagtailspar/wagtailspar/wagmetrics"
)

// reloadInterval is the time between two reads of the settings file, which may change
// without a signal.
const reloadInterval = 2 * time.Second

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
			// SIGHUP is received until the process ends. Its default action would end the
			// process, even during a graceful shutdown.
			hangUps := waghangup.Signals()
			file := os.Getenv(platform.SettingsFileEnv)
			s, err := platform.LoadSettings(file)
			if err != nil {
				return err
			}
			if limit := waglimits.Derive(s.MemoryBytes, s.MaxFileDescriptors).GoMemoryBytes; limit > 0 {
				debug.SetMemoryLimit(limit)
			}
			log := waglog.New(os.Stdout, s.Host, logOptions...)
			metrics := wagmetrics.NewSiteMetrics()
			// A second SIGTERM is ignored: the platform sends it when two planned stops
			// overlap, and it kills the process itself after the grace period.
			ctx, stop := untilSignal(ctx, syscall.SIGTERM)
			defer stop()
			h := waghost.NewSiteHost(s.SiteSettings(), platform.NewStore(s.Store.Address, platform.WithObserver(metrics.CountStoreCall)), s.ObjectDecoder(), platform.Protocol{},
				waghost.WithSiteLog(log), waghost.WithSiteMetrics(metrics))
			// Reloads and the log continue during the graceful shutdown.
			backgroundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
			defer cancel()
			var g errgroup.Group
			g.Go(func() error {
				reloadSettings(backgroundCtx, hangUps, file, h, log)
				return nil
			})
			g.Go(func() error { return log.Run(backgroundCtx) })
			err = h.Run(ctx)
			cancel()
			_ = g.Wait() // always nil
			return err
		},
	}
}

// maxLogRate bounds the log lines of each kind per second. With 300 bytes a line, they
// amount to 3 MB per second.
const maxLogRate = 10_000

// logOptions checks the values of the log flags and returns the options of the log.
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

// reloadSettings applies changes of the settings file until ctx ends. A file that is not
// valid is logged and otherwise ignored.
func reloadSettings(ctx context.Context, hangUps <-chan os.Signal, file string, h *waghost.SiteHost, log *waglog.Log) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var lastError string
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			log.Info(waglog.KindHost, waglog.Fields{"event": "hangUp"})
			lastError = ""
		case <-ticker.C:
		}
		s, err := platform.LoadSettings(file)
		if err != nil {
			if err.Error() != lastError {
				log.Warn(waglog.KindHost, waglog.Fields{"event": "reload", "error": err.Error(), "reason": "the former settings stay in force"})
			}
			lastError = err.Error()
			continue
		}
		lastError = ""
		h.Reload(s.SiteSettings())
	}
}
