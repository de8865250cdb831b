package commands

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/platform"
	"github.com/wagtailspar/wagtailspar/wagini"
	"github.com/wagtailspar/wagtailspar/waglimits"
	"github.com/wagtailspar/wagtailspar/wagsettings"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check and print the settings of an entry host",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "report the first fault of a settings file", ArgsUsage: "FILE",
				Action: func(_ context.Context, c *cli.Command) error {
					file, err := singleArgument(c)
					if err != nil {
						return err
					}
					if err := checkSettings(file); err != nil {
						return err
					}
					_, err = fmt.Fprintln(c.Root().Writer, file+": valid")
					return err
				},
			},
			{
				Name: "print", Usage: "print all keys with their values and defaults; without FILE the defaults; of a file of the platform what it means here", ArgsUsage: "[FILE]",
				Action: func(_ context.Context, c *cli.Command) error {
					return printSettings(c)
				},
			},
		},
	}
}

// checkSettings checks a settings file, which is INI, or JSON on the platform.
func checkSettings(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if isPlatformSettings(text) {
		_, err = platform.ParseSettings(file, text)
		return err
	}
	_, err = wagsettings.Load(file)
	return err
}

// isPlatformSettings reports whether the text of a settings file is JSON, as on the
// platform. INI does not begin with a brace.
func isPlatformSettings(text []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) }

// printPlatformSettings prints the values that a host takes from a settings file of the
// platform.
func printPlatformSettings(w io.Writer, file string, text []byte) error {
	s, err := platform.ParseSettings(file, text)
	if err != nil {
		return err
	}
	site := s.SiteSettings()
	limits := waglimits.Derive(s.MemoryBytes, s.MaxFileDescriptors)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, line := range [][2]any{
		{"host", s.Host}, {"dataCentre", s.DataCentre}, {"region", s.Region}, {"callers", s.CallerAddress}, {"readiness", s.ReadinessAddress}, {"peers", s.PeerAddress},
		{"seeds", s.Seeds}, {"processor", s.CPUShare}, {"memoryBytes", s.MemoryBytes}, {"descriptors", s.MaxFileDescriptors},
		{"callerMemoryBytes", limits.CallerMemoryBytes}, {"callerConnections", limits.CallerConnections}, {"serverConnections", limits.ServerConnections},
		{"store", s.Store.Address}, {"storeWritesPerSecond", s.Store.WritesPerSecond}, {"storeReadsPerSecond", s.Store.ReadsPerSecond},
		{"drain", s.Bounds.DrainTimeout}, {"grace", s.Bounds.GracePeriod}, {"apply", s.Bounds.ApplyTimeout},
		{"retryRatio", site.Limits.RetryRatio}, {"retryWindow", site.Limits.RetryWindow}, {"retrySlackOfDataCentre", site.Limits.RetrySlack},
		{"probesPerServerAndSecond", site.Limits.ProbesPerSecond},
	} {
		if _, err := fmt.Fprintf(table, "%v\t= %v\n", line[0], line[1]); err != nil {
			return err
		}
	}
	return table.Flush()
}

func printSettings(c *cli.Command) (err error) {
	defer func() { err = errors.WithMessage(err, "print settings") }()
	var text []byte
	if file := c.Args().First(); file != "" {
		if text, err = os.ReadFile(file); err != nil {
			return err
		}
		if isPlatformSettings(text) {
			return printPlatformSettings(c.Root().Writer, file, text)
		}
		if _, err := wagsettings.Load(file); err != nil {
			return err
		}
	}
	out, err := wagini.Format(text, wagsettings.Schema(&wagsettings.Settings{}))
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.Root().Writer, out)
	return err
}

// singleArgument returns the only argument of a command.
func singleArgument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", errors.Errorf("%s takes one argument: %s", c.FullName(), c.ArgsUsage)
	}
	return c.Args().First(), nil
}
