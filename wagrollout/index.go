package wagrollout

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxServiceNameBytes bounds the service name of a document.
const maxServiceNameBytes = 63

// Status describes the document in force of a service, for operators.
type Status struct {
	Entry
	// Rejection describes the latest rejected document. Its Reason is empty if there
	// is none.
	Rejection Rejection
	// StoreOlder is set if the store contains an older document or none.
	StoreOlder bool
}

// supersedes reports whether e is newer than another entry. It compares
// revisions, then digests, so that hosts agree even if two texts have the same
// revision number.
func (e Entry) supersedes(other Entry) bool {
	if e.Revision != other.Revision {
		return e.Revision > other.Revision
	}
	return e.Digest > other.Digest
}

func (e Entry) hash() uint64 {
	b := make([]byte, 0, maxServiceNameBytes+16)
	b = binary.BigEndian.AppendUint64(b, uint64(e.Revision))
	b = binary.BigEndian.AppendUint64(b, e.Digest)
	b = append(b, e.Service...)
	return xxhash.Sum64(b)
}

func bucketOf(service string) int {
	return int(xxhash.Sum64String(service) % BucketCount)
}

// combine returns one digest of all buckets.
func (d Digests) combine() uint64 {
	b := make([]byte, 0, BucketCount*8)
	for _, v := range d {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	return xxhash.Sum64(b)
}

// Status returns the status of all services, sorted by name. Services with only
// rejected documents have revision 0.
func (c *Catalog) Status() []Status {
	all := make(map[string]Status, len(c.entries))
	for name, e := range c.entries {
		all[name] = Status{Entry: e}
	}
	for name, f := range c.rejections {
		s := all[name]
		s.Service, s.Rejection = name, f
		all[name] = s
	}
	list := make([]Status, 0, len(all))
	for name, s := range all {
		_, s.StoreOlder = c.outdated[name]
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	return list
}

// Index returns the entries in the buckets that differ from those of a peer, as the
// reply to its PullIndex.
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

// handlePeerState takes over the confirmation of a peer that has the same
// documents or nothing newer. Otherwise it requests the index of the peer.
func (c *Catalog) handlePeerState(now time.Time, e PeerState) []Command {
	if e.Digest == c.Snapshot().Digest {
		delete(c.checkedDigests, e.Peer)
		c.confirm(now, e.ConfirmedAt)
		return nil
	}
	if checked, ok := c.checkedDigests[e.Peer]; ok && checked == e.Digest {
		c.confirm(now, e.ConfirmedAt)
		return nil
	}
	for peer, p := range c.pulls {
		if !p.expiresAt.After(now) {
			delete(c.pulls, peer)
		}
	}
	if _, open := c.pulls[e.Peer]; open || len(c.pulls) >= maxPulls {
		return nil
	}
	return c.pullIndex(now, e.Peer)
}

// pullIndex starts an exchange with a peer.
func (c *Catalog) pullIndex(now time.Time, peer string) []Command {
	c.pulls[peer] = pull{expiresAt: now.Add(pullTimeout)}
	return []Command{PullIndex{Peer: peer, Digests: c.digests}}
}

// continuePull requests the index again once all requested documents have arrived.
func (c *Catalog) continuePull(now time.Time, peer string) []Command {
	p, open := c.pulls[peer]
	if !open || p.remaining == 0 {
		return nil
	}
	p.remaining--
	c.pulls[peer] = p
	if p.remaining > 0 || !p.expiresAt.After(now) {
		return nil
	}
	return c.pullIndex(now, peer)
}

// handlePeerIndex requests the documents that are newer at the peer. An index
// that was not requested is ignored, because it may lack buckets that differ.
func (c *Catalog) handlePeerIndex(now time.Time, e PeerIndex) []Command {
	_, open := c.pulls[e.Peer]
	delete(c.pulls, e.Peer)
	if !open || len(e.Entries) > MaxServices {
		return nil
	}
	var newer []string
	for _, entry := range e.Entries {
		if c.needsEntry(now, entry) {
			newer = append(newer, entry.Service)
		}
	}
	if len(newer) == 0 {
		c.confirm(now, e.ConfirmedAt)
		c.recordChecked(e)
		return nil
	}
	newer = newer[:min(len(newer), MaxPulledDocuments)]
	c.pulls[e.Peer] = pull{expiresAt: now.Add(pullTimeout), remaining: len(newer)}
	return []Command{PullDocuments{Peer: e.Peer, Services: newer}}
}

// recordChecked records that a peer with this digest has nothing newer.
func (c *Catalog) recordChecked(e PeerIndex) {
	if len(c.checkedDigests) >= maxPeers {
		clear(c.checkedDigests)
	}
	c.checkedDigests[e.Peer] = e.Digest
}

// needsEntry reports whether the document of a peer's entry would come into
// force here. A text that was rejected before is not requested again.
func (c *Catalog) needsEntry(now time.Time, e Entry) bool {
	if e.Service == "" || len(e.Service) > maxServiceNameBytes || e.Revision > now.Add(MaxRevisionAhead).UnixMilli() {
		return false
	}
	if f, ok := c.rejections[e.Service]; ok && f.Digest == e.Digest {
		return false
	}
	current, ok := c.entries[e.Service]
	return !ok || e.supersedes(current)
}

func sortedKeys(m map[string]outdatedObject) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
