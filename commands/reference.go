package commands

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagini"
	"github.com/wagtailspar/wagtailspar/wagsettings"
)

const (
	settingsIntroduction = "# Settings of an entry host\n\nINI, read by `wagtailspar serve --settings FILE`. `wagtailspar settings check FILE` reports the first fault with file, line, section, key, value and what is allowed. Unknown sections and keys are errors. Durations are written with a unit (`250ms`, `5s`, `1h`).\n\nThis page is the output of `wagtailspar reference settings`; a test compares the two.\n\n"
	documentIntroduction = "# Document of a service\n\nINI, one document per service, owned by the service's team; the only way to steer how the service is treated. `wagtailspar document check FILE` reports the first fault. Unknown sections and keys are errors. Durations are written with a unit. A document needs only a name:\n\n    [service]\n    name = lot-desk\n\nComplete examples are in `examples/`. This page is the output of `wagtailspar reference document`; a test compares the two.\n\n"
)

func referenceCommand() *cli.Command {
	return &cli.Command{
		Name: "reference", Usage: "print the reference of the settings or of the document", ArgsUsage: "settings|document",
		Action: func(_ context.Context, c *cli.Command) error {
			name, err := singleArgument(c)
			if err != nil {
				return err
			}
			text, err := referenceText(name)
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(c.Root().Writer, text)
			return err
		},
	}
}

func referenceText(name string) (string, error) {
	switch name {
	case "settings":
		return settingsIntroduction + wagini.Reference(wagsettings.Schema(&wagsettings.Settings{})), nil
	case "document":
		return documentIntroduction + wagini.Reference(wagdocument.Schema(&wagdocument.Document{})), nil
	default:
		return "", errors.Errorf("unknown reference %q (allowed: settings, document)", name)
	}
}
