package commands

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wagtailspar/wagtailspar/wagclock"
	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagpublish"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

func documentCommand() *cli.Command {
	store := &cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the object store", Value: "127.0.0.1:7070"}
	operators := &cli.StringSliceFlag{Name: "operator", Usage: "operator `ADDRESS` of an entry host; repeat or separate by commas; without it the hosts recorded in the store"}
	writer := &cli.StringFlag{Name: "writer", Usage: "`NAME` that the revision is signed with; the user's name when empty"}
	wait := &cli.BoolFlag{Name: "wait", Usage: "wait until the revision is in force on every host"}
	timeout := &cli.DurationFlag{Name: "timeout", Usage: "longest `TIME` to wait", Value: 30 * time.Second}
	return &cli.Command{
		Name:  "document",
		Usage: "check, publish and follow the documents of services",
		Commands: []*cli.Command{
			{Name: "check", Usage: "report the first fault of a document", ArgsUsage: "FILE", Action: checkDocument},
			{Name: "put", Usage: "publish a document on condition that nobody changed it", ArgsUsage: "FILE", Flags: append(tlsFlags(), store, operators, writer, wait, timeout), Action: putDocument},
			{Name: "delete", Usage: "publish the removal of a service", ArgsUsage: "NAME", Flags: append(tlsFlags(), store, operators, writer, wait, timeout), Action: deleteDocument},
			{Name: "show", Usage: "print the document in the store", ArgsUsage: "NAME", Flags: []cli.Flag{store}, Action: showDocument},
			{Name: "list", Usage: "list the documents in the store", Flags: []cli.Flag{store}, Action: listDocuments},
			{Name: "status", Usage: "tell what is in force at each host, and why a newer text is not", ArgsUsage: "NAME", Flags: append(tlsFlags(), store, operators), Action: documentStatus},
			{Name: "platform", Usage: "print the configuration in the platform's store as hosts on the platform understand it", Flags: []cli.Flag{store}, Action: printPlatformStore},
			{Name: "history", Usage: "list the earlier versions", ArgsUsage: "NAME", Flags: []cli.Flag{store}, Action: documentHistory},
		},
	}
}

func checkDocument(_ context.Context, c *cli.Command) error {
	file, text, err := readFileArgument(c)
	if err != nil {
		return err
	}
	d, err := wagdocument.Parse(file, text)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: valid document of service %s with %d routes\n", file, d.Service.Name, len(d.Routes))
	return err
}

func putDocument(ctx context.Context, c *cli.Command) error {
	file, text, err := readFileArgument(c)
	if err != nil {
		return err
	}
	return publish(ctx, c, file, text)
}

func deleteDocument(ctx context.Context, c *cli.Command) error {
	name, err := singleArgument(c)
	if err != nil {
		return err
	}
	return publish(ctx, c, "deletion of "+name, []byte("[service]\nname = "+name+"\ndeleted = true\n"))
}

// publish writes a document to the store. With the flag --wait it also waits until the
// document is in force on all hosts.
func publish(ctx context.Context, c *cli.Command, file string, text []byte) (err error) {
	store, err := storeClient(c)
	if err != nil {
		return err
	}
	p := wagpublish.New(store, writerName(c.String("writer")), time.Now)
	change, err := p.Prepare(ctx, file, text)
	if errors.Is(err, wagpublish.ErrUnchanged) {
		_, err = fmt.Fprintln(c.Root().Writer, err)
		return err
	}
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if _, err := fmt.Fprint(out, change.Diff); err != nil {
		return err
	}
	result, err := p.Commit(ctx, change)
	if err != nil {
		return err
	}
	if result.ReadBack {
		fmt.Fprintln(out, "the store's answer was lost; reading back shows that this write took effect")
	}
	d := result.Document
	fmt.Fprintf(out, "accepted: %s revision %d by %s\n", d.Service.Name, d.Revision.Number, d.Revision.Writer)
	if !c.Bool("wait") {
		return nil
	}
	return waitInForce(ctx, c, store, d)
}

// hostPollInterval is the time between two attempts to find the hosts in the store.
const hostPollInterval = 100 * time.Millisecond

// waitInForce waits until a document is in force on all hosts. It returns an error if some
// host still lags when the time of the flag --timeout is over.
func waitInForce(ctx context.Context, c *cli.Command, store wagstore.Store, d *wagdocument.Document) error {
	client, err := operatorClient(c)
	if err != nil {
		return err
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	operators, err := findOperators(ctx, c, store)
	// Hosts that have just started record themselves in the store within 1 to 2 s.
	for errors.Is(err, errNoHosts) && wagclock.Wait(ctx, wagclock.System{}, time.Now().Add(hostPollInterval)) {
		operators, err = findOperators(ctx, c, store)
	}
	if err != nil {
		return err
	}
	lagging := wagpublish.WaitInForce(ctx, client, operators, d.Service.Name, d.Revision.Number)
	if len(lagging) == 0 {
		_, err := fmt.Fprintf(c.Root().Writer, "in force on all %d hosts after %s\n", len(operators), time.Since(start).Round(time.Millisecond))
		return err
	}
	for _, s := range lagging {
		fmt.Fprintf(c.Root().Writer, "lagging: %s\n", describeHost(s, d.Service.Name))
	}
	return errors.Errorf("revision %d is not in force on %d of %d hosts", d.Revision.Number, len(lagging), len(operators))
}

// describeHost returns the revision of a service's document at a host as a sentence, or the
// error of reading it.
func describeHost(s wagpublish.HostStatus, service string) string {
	if s.Err != nil {
		return s.Err.Error()
	}
	d := s.FindDocument(service)
	text := fmt.Sprintf("%s in %s has revision %d", s.Host, s.DataCentre, d.Revision)
	if d.Problem != "" {
		text += ": " + d.Problem
	}
	return text
}

// errNoHosts means that the store records no hosts and that the flags name none.
var errNoHosts = errors.New("the store records no entry hosts; name them with --operator")

// findOperators returns the operator addresses that the flags name, or else those of the
// hosts that have recorded themselves in the store.
func findOperators(ctx context.Context, c *cli.Command, store wagstore.Store) ([]netip.AddrPort, error) {
	if texts := c.StringSlice("operator"); len(texts) > 0 {
		return parseAddresses(texts)
	}
	operators, err := wagpublish.OperatorAddresses(ctx, store)
	if err != nil {
		return nil, err
	}
	if len(operators) == 0 {
		return nil, errNoHosts
	}
	return operators, nil
}

func showDocument(ctx context.Context, c *cli.Command) error {
	name, store, err := nameAndStore(c)
	if err != nil {
		return err
	}
	o, err := store.Get(ctx, wagpublish.DocumentPrefix+name)
	if err != nil {
		return err
	}
	_, err = c.Root().Writer.Write(o.Value)
	return err
}

func listDocuments(ctx context.Context, c *cli.Command) error {
	store, err := storeClient(c)
	if err != nil {
		return err
	}
	objects, _, err := store.List(ctx, wagpublish.DocumentPrefix)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tREVISION\tWRITER\tSTATE")
	for _, o := range objects {
		name := strings.TrimPrefix(o.Key, wagpublish.DocumentPrefix)
		r, state := wagdocument.ReadRevision(o.Value), "valid"
		if d, err := wagdocument.Parse(o.Key, o.Value); err != nil {
			state = err.Error()
		} else if d.Service.Deleted {
			state = "deleted"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", name, r.Number, r.Writer, state)
	}
	return w.Flush()
}

func documentStatus(ctx context.Context, c *cli.Command) error {
	name, store, err := nameAndStore(c)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	o, err := store.Get(ctx, wagpublish.DocumentPrefix+name)
	switch {
	case err != nil:
		fmt.Fprintf(out, "store: %v\n", err)
	default:
		fmt.Fprintf(out, "store: revision %d", wagdocument.ReadRevision(o.Value).Number)
		if _, err := wagdocument.Parse(o.Key, o.Value); err != nil {
			fmt.Fprintf(out, ", not valid: %v", err)
		}
		fmt.Fprintln(out)
	}
	operators, err := findOperators(ctx, c, store)
	if err != nil {
		return err
	}
	client, err := operatorClient(c)
	if err != nil {
		return err
	}
	for _, s := range wagpublish.FetchStatuses(ctx, client, operators) {
		fmt.Fprintln(out, describeHost(s, name))
	}
	return nil
}

func documentHistory(ctx context.Context, c *cli.Command) error {
	name, store, err := nameAndStore(c)
	if err != nil {
		return err
	}
	versions, err := wagpublish.New(store, "", time.Now).History(ctx, name)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tWRITTEN\tWRITER\tBYTES")
	for _, v := range versions {
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\n", v.Number, v.Written.Format(time.RFC3339), v.Writer, len(v.Text))
	}
	return w.Flush()
}

func storeClient(c *cli.Command) (wagstore.Store, error) {
	a, err := netip.ParseAddrPort(c.String("store"))
	if err != nil {
		return nil, errors.Errorf("store address %q is not an IP address with a port", c.String("store"))
	}
	return wagstore.NewClient(a), nil
}

// writerName adds a random suffix to the name of an operator. The result is unique to this
// process, so that its write differs from another operator's write of the same text.
func writerName(name string) string {
	if name == "" {
		name = "operator"
		if u, err := user.Current(); err == nil {
			name = u.Username
		}
	}
	suffix := make([]byte, 4)
	_, _ = rand.Read(suffix)
	return fmt.Sprintf("%s-%x", name, suffix)
}

// readFileArgument reads the file that the only argument names.
func readFileArgument(c *cli.Command) (file string, text []byte, err error) {
	if file, err = singleArgument(c); err != nil {
		return "", nil, err
	}
	text, err = os.ReadFile(file)
	return file, text, err
}

// nameAndStore returns the only argument and a client of the store that the flag --store
// names.
func nameAndStore(c *cli.Command) (name string, store wagstore.Store, err error) {
	if name, err = singleArgument(c); err != nil {
		return "", nil, err
	}
	store, err = storeClient(c)
	return name, store, err
}
