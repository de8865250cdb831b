package commands

import (
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/wagoperator"
	"github.com/wagtailspar/wagtailspar/wagsettings"
	"github.com/wagtailspar/wagtailspar/wagtls"
)

// tlsFlags returns the flags that name the files for mutual TLS with the operator ports of
// hosts.
func tlsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "certificate", Usage: "PEM `FILE` with the operator's certificate; plain connections without"},
		&cli.StringFlag{Name: "key", Usage: "PEM `FILE` with the key of the certificate"},
		&cli.StringFlag{Name: "authority", Usage: "PEM `FILE` with the authority that hosts are checked against"},
	}
}

// operatorClient returns a client of the operator ports that uses the certificate that the
// flags name.
func operatorClient(c *cli.Command) (client *wagoperator.Client, err error) {
	defer func() { err = errors.WithMessage(err, "load operator certificate") }()
	files := wagsettings.TLS{Certificate: c.String("certificate"), Key: c.String("key"), Authority: c.String("authority")}
	if files == (wagsettings.TLS{}) {
		return wagoperator.New(), nil
	}
	if files.Certificate == "" || files.Key == "" || files.Authority == "" {
		return nil, errors.New("--certificate, --key and --authority must be given together")
	}
	identity, err := wagtls.LoadMutual(files)
	if err != nil {
		return nil, err
	}
	return wagoperator.New(wagoperator.WithTLS(identity.ClientConfig())), nil
}
