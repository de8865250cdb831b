package commands

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/platform"
	"github.com/wagtailspar/wagtailspar/wagmirror"
	"github.com/wagtailspar/wagtailspar/wagserver"
	"github.com/wagtailspar/wagtailspar/wagsite"
)

// printPlatformStore prints the decoded objects of the platform's store. It changes nothing
// in the store.
func printPlatformStore(ctx context.Context, c *cli.Command) (err error) {
	defer func() { err = errors.WithMessage(err, "read the platform's store") }()
	address, err := netip.ParseAddrPort(c.String("store"))
	if err != nil {
		return errors.Errorf("store %q is not an IP address with a port", c.String("store"))
	}
	store := platform.NewStore(address)
	table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	for _, kind := range (platform.ObjectDecoder{}).Kinds() {
		update, err := store.List(ctx, kind)
		if err != nil {
			return err
		}
		for _, r := range update.Records {
			if err := printObject(table, r); err != nil {
				return err
			}
		}
	}
	return table.Flush()
}

func printObject(w io.Writer, r wagmirror.Record) error {
	decoded, err := platform.ObjectDecoder{}.Decode(r, time.Now())
	if err != nil {
		_, err = fmt.Fprintf(w, "skipped\t%s/%s\t%s\n", r.Kind, r.Name, err)
		return err
	}
	switch object := decoded.(type) {
	case *wagsite.Config:
		return printConfig(w, object)
	case wagserver.Instance:
		_, err = fmt.Fprintf(w, "server\t%s\t%s\t%s\t%s\t%s\tslots %d\n", object.ID, object.Service, object.DataCentre, object.Address, object.State, object.Slots)
		return err
	default:
		return nil
	}
}

func printConfig(w io.Writer, c *wagsite.Config) error {
	limits := c.Limits
	_, err := fmt.Fprintf(w, "version\t%d\nlimits\theader %d bytes within %s\tbody %d bytes\tidle %s\n", c.Version, limits.HeaderBytes, limits.HeaderTimeout, limits.BodyBytes, limits.IdleTimeout)
	if err != nil {
		return err
	}
	for _, warning := range c.Warnings {
		if _, err := fmt.Fprintf(w, "warning\t%s\n", warning); err != nil {
			return err
		}
	}
	for _, s := range c.Services() {
		if _, err := fmt.Fprintf(w, "service\t%s\thealth %s\tconnections %d\n", s.Name, s.HealthPath, s.Connections); err != nil {
			return err
		}
	}
	for _, customer := range c.Customers() {
		if _, err := fmt.Fprintf(w, "customer\t%s\tkeys %d\trate %g\tburst %g\n", customer.Name, len(customer.Keys), customer.Rate, customer.Burst); err != nil {
			return err
		}
	}
	for _, r := range c.Routes() {
		kind := "at most once"
		if r.Idempotent {
			kind = "idempotent"
		}
		if r.Unusable != "" {
			kind = "unusable"
		}
		var parts []string
		for _, p := range r.TrafficSplit {
			parts = append(parts, fmt.Sprintf("%s:%d", p.Service, p.Weight))
		}
		_, err := fmt.Fprintf(w, "route\t%s\t%s%s\t%s\trank %d\tgoal %s\ttimeout %s\tattempts %d\t%s\n",
			r.Name, r.Host, r.Prefix, kind, r.Rank, r.Goal, r.Timeout, r.Attempts, strings.Join(parts, " "))
		if err != nil {
			return err
		}
	}
	return nil
}
