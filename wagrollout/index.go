package wagrollout

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxServiceName is the longest service name of a document.
const maxServiceName = 63

// Status tells operators what is in force for a service.
type Status struct {
	Entry
	// Rejection is the latest invalid candidate; its Reason is empty without one.
	Rejection Rejection
	// StoreOlder tells that the store holds an older document or none.
	StoreOlder bool
}

// after orders by revision, then by digest, so that hosts agree even when two
// texts have the same number.
func (e Entry) after(other Entry) bool {
	if e.Revision != other.Revision {
		return e.Revision > other.Revision
	}
	return e.Digest > other.Digest
}

func (e Entry) hash() uint64 {
	b := make([]byte, 0, maxServiceName+16)
	b = binary.BigEndian.AppendUint64(b, uint64(e.Revision))
	b = binary.BigEndian.AppendUint64(b, e.Digest)
	b = append(b, e.Service...)
	return xxhash.Sum64(b)
}

func bucketOf(service string) int {
	return int(xxhash.Sum64String(service) % BucketCount)
}

func (d Digests) total() uint64 {
	b := make([]byte, 0, BucketCount*8)
	for _, v := range d {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return xxhash.Sum64(b)
}

// Status returns what is known of all services, ordered by name. Services of
// which only invalid documents were seen have revision 0.
func (c *Catalog) Status() []Status {
	all := make(map[string]Status, len(c.entries))
	for name, e := range c.entries {
		all[name] = Status{Entry: e}
	}
	for name, f := range c.faults {
		s := all[name]
		s.Service, s.Rejection = name, f
		all[name] = s
	}
	list := make([]Status, 0, len(all))
	for name, s := range all {
		_, s.StoreOlder = c.older[name]
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	return list
}

// Index answers a PullIndex of a peer: what is in force in the buckets that
// differ from the peer's.
func (c *Catalog) Index(peer Digests) []Entry {
	var list []Entry
	for _, e := range c.entries {
		bucket := bucketOf(e.Service)
		if c.digests[bucket] != peer[bucket] {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	return list
}

// peerState confirms freshness by a peer that has the same documents or nothing
// newer, and otherwise asks what differs.
func (c *Catalog) peerState(now time.Time, e PeerState) []Command {
	if e.Digest == c.Snapshot().Digest {
		delete(c.settled, e.Peer)
		c.confirm(now, e.ConfirmedAt)
		return nil
	}
	if settled, ok := c.settled[e.Peer]; ok && settled == e.Digest {
		c.confirm(now, e.ConfirmedAt)
		return nil
	}
	for peer, p := range c.pulls {
		if !p.until.After(now) {
			delete(c.pulls, peer)
		}
	}
	if _, open := c.pulls[e.Peer]; open || len(c.pulls) >= maxPulls {
		return nil
	}
	return c.pullIndex(now, e.Peer)
}

func (c *Catalog) pullIndex(now time.Time, peer string) []Command {
	c.pulls[peer] = pull{until: now.Add(pullTime)}
	return []Command{PullIndex{Peer: peer, Digests: c.digests}}
}

// pulled continues an exchange once all documents of a message have arrived.
func (c *Catalog) pulled(now time.Time, peer string) []Command {
	p, open := c.pulls[peer]
	if !open || p.left == 0 {
		return nil
	}
	p.left--
	c.pulls[peer] = p
	if p.left > 0 || !p.until.After(now) {
		return nil
	}
	return c.pullIndex(now, peer)
}

// index asks for the documents that are newer at the peer. An answer that was not
// asked for shows nothing, because it may leave out buckets.
func (c *Catalog) index(now time.Time, e PeerIndex) []Command {
	_, open := c.pulls[e.Peer]
	delete(c.pulls, e.Peer)
	if !open || len(e.Entries) > MaxServices {
		return nil
	}
	var newer []string
	for _, entry := range e.Entries {
		if c.lacks(now, entry) {
			newer = append(newer, entry.Service)
		}
	}
	if len(newer) == 0 {
		c.confirm(now, e.ConfirmedAt)
		c.settle(e)
		return nil
	}
	newer = newer[:min(len(newer), MaxPulledDocuments)]
	c.pulls[e.Peer] = pull{until: now.Add(pullTime), left: len(newer)}
	return []Command{PullDocuments{Peer: e.Peer, Services: newer}}
}

func (c *Catalog) settle(e PeerIndex) {
	if len(c.settled) >= maxPeers {
		clear(c.settled)
	}
	c.settled[e.Peer] = e.Digest
}

// lacks tells whether an entry of a peer would come into force here. A text that
// was rejected before is not asked for again.
func (c *Catalog) lacks(now time.Time, e Entry) bool {
	if e.Service == "" || len(e.Service) > maxServiceName || e.Revision > now.Add(MaxRevisionAhead).UnixMilli() {
		return false
	}
	if f, ok := c.faults[e.Service]; ok && f.Digest == e.Digest {
		return false
	}
	current, ok := c.entries[e.Service]
	return !ok || e.after(current)
}

func sortedKeys(m map[string]older) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
