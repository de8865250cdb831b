package wagrouting

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
)

const (
	// occupancySteps is the number of steps by which the share of used slots is
	// distinguished within one level of slowness.
	occupancySteps = 8
	levelCount     = 8
	bucketCount    = occupancySteps * levelCount
)

// serverIndex orders servers by cost in buckets, so that the cheapest one is
// found without a scan, however many servers there are.
type serverIndex struct {
	// id is the index of this serverIndex in server.positions.
	id      int
	buckets [bucketCount][]*server
	// nonEmpty has a bit set for each bucket that is not empty.
	nonEmpty uint64
}

// indexPosition is where a server is in an index.
type indexPosition struct {
	bucket int
	// offset is the place of the server in the list of its bucket.
	offset  int
	present bool
}

// set moves a server into a bucket.
func (x *serverIndex) set(s *server, bucket int) {
	p := &s.positions[x.id]
	if p.present && p.bucket == bucket {
		return
	}
	x.remove(s)
	*p = indexPosition{bucket: bucket, offset: len(x.buckets[bucket]), present: true}
	x.buckets[bucket] = append(x.buckets[bucket], s)
	x.nonEmpty |= 1 << bucket
}

func (x *serverIndex) remove(s *server) {
	p := &s.positions[x.id]
	if !p.present {
		return
	}
	list := x.buckets[p.bucket]
	last := list[len(list)-1]
	list[p.offset] = last
	last.positions[x.id].offset = p.offset
	list[len(list)-1] = nil
	x.buckets[p.bucket] = list[:len(list)-1]
	if len(list) == 1 {
		x.nonEmpty &^= 1 << p.bucket
	}
	p.present = false
}

// cheapest returns a random server of the cheapest bucket. It returns the server
// to avoid only if there is no other.
func (x *serverIndex) cheapest(r *rand.Rand, avoid netip.AddrPort) *server {
	var last *server
	for m := x.nonEmpty; m != 0; m &= m - 1 {
		list := x.buckets[bits.TrailingZeros64(m)]
		i := r.IntN(len(list))
		if list[i].address != avoid {
			return list[i]
		}
		last = list[i]
		if len(list) > 1 {
			return list[(i+1)%len(list)]
		}
	}
	return last
}
