package commands

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/platform"
	"github.com/wagtailspar/wagtailspar/waghost"
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
			log := logrus.New()
			log.SetOutput(os.Stdout)
			ctx, stop := untilSignal(ctx)
			defer stop()
			h := waghost.NewSite(s.Site(), platform.NewStore(s.Store.Address), platform.Objects{}, platform.Protocol{}, waghost.WithSiteLog(log))
			return h.Run(ctx)
		},
	}
}
