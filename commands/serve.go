package commands

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/waghost"
	"github.com/wagtailspar/wagtailspar/wagsettings"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry host",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "INI `FILE` with the settings of the host", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) (err error) {
			defer func() { err = errors.WithMessage(err, "serve") }()
			s, err := wagsettings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			ctx, stop := untilSignal(ctx)
			defer stop()
			h, err := waghost.New(s, waghost.WithLog(newLogger(s.Log)))
			if err != nil {
				return err
			}
			return h.Run(ctx)
		},
	}
}

// newLogger returns a logger with the level and the format of the settings.
func newLogger(l wagsettings.Log) *logrus.Logger {
	log := logrus.New()
	if level, err := logrus.ParseLevel(l.Level); err == nil {
		log.SetLevel(level)
	}
	if l.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
