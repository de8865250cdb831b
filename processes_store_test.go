//go:build linux

package main

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wagtailspar/wagtailspar/wagdocument"
	"github.com/wagtailspar/wagtailspar/wagpublish"
	"github.com/wagtailspar/wagtailspar/wagstandin"
	"github.com/wagtailspar/wagtailspar/wagstore"
)

// storeClient returns a client of the store stand-in.
func (s *site) storeClient() *wagstore.Client {
	return wagstore.NewClient(netip.MustParseAddrPort(s.store.address))
}

// changeStored changes the store without the command line. change gets the object of the
// document in the store.
func (s *site) changeStored(change func(ctx context.Context, c *wagstore.Client, o wagstore.Object) error) {
	s.t.Helper()
	o, err := s.storedDocument()
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	if err := change(ctx, s.storeClient(), o); err != nil {
		s.t.Fatal(err)
	}
}

// storedDocument returns the document in the store.
func (s *site) storedDocument() (wagstore.Object, error) {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	return s.storeClient().Get(ctx, wagpublish.DocumentPrefix+"shop")
}

// waitRestored waits until the store holds a revision of the document again.
func (s *site) waitRestored(revision int64) {
	s.t.Helper()
	eventually(s.t, "the document is written back", func() error {
		o, err := s.storedDocument()
		if err == nil && wagdocument.ReadRevision(o.Value).Number != revision {
			err = errors.Errorf("%s", o.Value)
		}
		return err
	})
}

// Guards against requests, documents in force or new hosts that depend on the store, and
// against hosts that do not follow it again after an outage.
func TestStoreOutage(t *testing.T) {
	for _, outage := range []string{"frozen", "refusing"} {
		t.Run(outage, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, "one/east")
			s.startHosts("a/east", "b/east", "c/west")
			before := s.revisionInForce(s.hosts["a"])
			if outage == "frozen" {
				s.store.freeze()
			} else {
				s.setStoreFaults(wagstandin.StoreFaults{Down: true})
			}
			joined := s.startHost("joined", "east", []string{s.hosts["a"].peer, s.hosts["c"].peer}, "")
			s.waitInForce(joined, before)
			for _, h := range s.hosts {
				s.waitServing(h)
				is.Equal(s.revisionInForce(h), before)
			}
			if outage == "frozen" {
				s.store.resume()
			} else {
				s.setStoreFaults(wagstandin.StoreFaults{})
			}
			s.putDocument("shop.ini", shopDocument+"\n[limits]\nqueue = 99\n")
			o, err := s.storedDocument()
			is.NoErr(err)
			for _, h := range s.hosts {
				s.waitInForce(h, wagdocument.ReadRevision(o.Value).Number)
				s.waitReady(h)
			}
		})
	}
}

// Guards against hosts that drop their documents, or do not write them back, after the
// store came back empty.
func TestStoreReplacedByEmptyOne(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.startHosts("a/east", "b/east", "c/west")
	before := s.revisionInForce(s.hosts["a"])
	address := s.store.address
	s.store.kill()
	for _, h := range s.hosts {
		s.waitServing(h)
	}
	s.store = s.startStandin("store", "--listen", address)
	s.waitRestored(before)
	for _, h := range s.hosts {
		is.Equal(s.revisionInForce(h), before)
		s.waitReady(h)
		s.waitServing(h)
	}
}

// Guards against a write by an operator that silently overwrites another operator's.
func TestTwoOperatorsAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.startHosts("a/east")
	shown, status := run(t, "document", "show", "--store", s.store.address, "shop")
	is.Equal(status, 0)
	ana := s.writeFile("ana.ini", strings.Replace(shown, "slots = 4", "slots = 5", 1))
	boris := s.writeFile("boris.ini", strings.Replace(shown, "slots = 4", "slots = 6", 1))
	puts := map[string]*process{
		"ana":   start(t, "document", "put", "--store", s.store.address, "--writer", "ana", ana),
		"boris": start(t, "document", "put", "--store", s.store.address, "--writer", "boris", boris),
	}
	winner, loser := "ana", "boris"
	if puts["ana"].wait() != 0 {
		winner, loser = loser, winner
	}
	is.Equal(puts[winner].wait(), 0)
	is.Equal(puts[loser].wait(), 1)                                    // both started from the same revision
	is.True(strings.Contains(puts[loser].stderr.String(), winner+"-")) // the other operator is named
	o, err := s.storedDocument()
	is.NoErr(err)
	r := wagdocument.ReadRevision(o.Value)
	is.True(strings.HasPrefix(r.Writer, winner+"-"))
	s.waitInForce(s.hosts["a"], r.Number)
}

// Guards against an unchecked document that comes into force, and against operators who
// cannot see why a document is not in force.
func TestInvalidDocumentInStore(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.startHosts("a/east", "b/east")
	before := s.revisionInForce(s.hosts["a"])
	line := 0
	s.changeStored(func(ctx context.Context, c *wagstore.Client, o wagstore.Object) error {
		text := strings.Replace(string(o.Value), "slots = 4", "slots = many", 1)
		linesBefore, _, _ := strings.Cut(text, "slots = many")
		line = 1 + strings.Count(linesBefore, "\n")
		_, err := c.Put(ctx, o.Key, []byte(strings.Replace(text, itoa(int(before)), itoa(int(before)+1), 1)), o.Version)
		return err
	})
	want := "documents/shop:" + itoa(line)
	for _, h := range s.hosts {
		eventually(t, h.name+" reports the line", func() error {
			out, status := run(t, "document", "status", "--store", s.store.address, "--operator", h.operator, "shop")
			_, reported, _ := strings.Cut(out, h.name+" in east")
			if status != 0 || !strings.Contains(reported, want) || !strings.Contains(reported, "many") {
				return errors.New(out)
			}
			return nil
		})
		is.Equal(s.revisionInForce(h), before)
		s.waitServing(h)
	}
	// The operator's next document is accepted although the stored one is not valid.
	s.putDocument("shop.ini", shopDocument+"\n[limits]\nqueue = 99\n")
	for _, h := range s.hosts {
		s.waitInForce(h, before+2)
	}
}

// Guards against a service that disappears when its object is deleted from the store, and
// against a document that its operator cannot delete and put again.
func TestDocumentDeletedAndPutAgain(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "one/east")
	s.startHosts("a/east", "b/west")
	before := s.revisionInForce(s.hosts["a"])
	s.changeStored(func(ctx context.Context, c *wagstore.Client, o wagstore.Object) error {
		return c.Delete(ctx, o.Key, o.Version)
	})
	s.waitRestored(before)
	for _, h := range s.hosts {
		is.Equal(s.revisionInForce(h), before)
		s.waitServing(h)
	}
	out, status := run(t, "document", "delete", "--store", s.store.address, "shop")
	if status != 0 {
		t.Fatal(out)
	}
	for _, h := range s.hosts {
		eventually(t, h.name+" drops the service", func() error {
			if r := h.get("/read/x"); r.status != http.StatusNotFound || r.reason != "no-service" || r.outcome != "not-run" {
				return errors.Errorf("%+v", r)
			}
			return nil
		})
	}
	deleted := s.revisionInForce(s.hosts["a"])
	is.True(deleted > before)
	s.putDocument("shop.ini", shopDocument)
	for _, h := range s.hosts {
		s.waitInForce(h, deleted+1)
		s.waitServing(h)
	}
}
