package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailspar/wagtailspar/platform"
	"github.com/wagtailspar/wagtailspar/waghost"
)

// reloadTime is how often the settings file is looked at, because it may change
// without a signal.
const reloadTime = 2 * time.Second

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run one entry host on the platform, with the settings file that " + platform.SettingsVariable + " names",
		Action: func(ctx context.Context, _ *cli.Command) (err error) {
			defer func() { err = errors.WithMessage(err, "gateway") }()
			file := os.Getenv(platform.SettingsVariable)
			s, err := platform.LoadSettings(file)
			if err != nil {
				return err
			}
			log := logrus.New()
			log.SetOutput(os.Stdout)
			ctx, stop := untilSignal(ctx)
			defer stop()
			h := waghost.NewSite(s.Site(), platform.NewStore(s.Store.Address), platform.Objects{}, platform.Protocol{}, waghost.WithSiteLog(log))
			running, end := context.WithCancel(ctx)
			defer end()
			var g errgroup.Group
			g.Go(func() error {
				reloadSettings(running, file, h, log)
				return nil
			})
			err = h.Run(ctx)
			end()
			_ = g.Wait() // always nil
			return err
		},
	}
}

// reloadSettings puts changes of the settings file in force until ctx ends. A file
// that is not valid changes nothing.
func reloadSettings(ctx context.Context, file string, h *waghost.Site, log logrus.FieldLogger) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	ticker := time.NewTicker(reloadTime)
	defer ticker.Stop()
	var failed string
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			log.Info("signal to read the settings again")
			failed = ""
		case <-ticker.C:
		}
		s, err := platform.LoadSettings(file)
		if err != nil {
			if err.Error() != failed {
				log.WithError(err).Warning("the settings file is not valid; the former settings stay in force")
			}
			failed = err.Error()
			continue
		}
		failed = ""
		h.Reload(s.Site())
	}
}
