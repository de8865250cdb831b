// Package waglease chooses owners and makes ownership exclusive: rendezvous
// hashing spreads items over candidates, and a lease with fencing tokens has at
// most one holder.
package waglease

import (
	"github.com/cespare/xxhash/v2"
)

// Choose returns the candidate with the highest rendezvous score for an item, or
// "" if there are no candidates. When a candidate is lost, only its own items
// move.
func Choose(item string, candidates []string) string {
	best, bestScore := "", uint64(0)
	for _, c := range candidates {
		score := Score(item, c)
		if best == "" || score > bestScore || score == bestScore && c < best {
			best, bestScore = c, score
		}
	}
	return best
}

// Score returns the rendezvous score of a candidate for an item.
func Score(item, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(item)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
