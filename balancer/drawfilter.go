package balancer

import (
	"math"
)

// sieve spares a draw from a large fleet the servers that can't be its least: with a
// key, chance comes from a hash, and no weight is more than bound.
type sieve struct {
	all   []*server
	key   uint64
	salts []uint64 // of all, if it sifts
	near  []likely // those with a hash over guess
	guess uint64
	floor uint64 // a smaller hash is too far off
	first int    // the place of the best chance: it is looked at first
	bound float64
}

// likely is a server that may well be the least.
type likely struct {
	hash uint64
	at   int
}

// guessed is how many servers of a fleet a draw is held to need to look at. Where it needs more, the
// others are hashed once more.
const guessed = 64

// sift prepares a draw for a key.
func (b *Balancer) sift(key uint64, meanLoad float64) *sieve {
	f := &b.fleet
	v := &f.sieve
	*v = sieve{all: f.servers, near: v.near[:0]}
	if len(f.servers) < largeFleet || key == 0 || !(meanLoad > 0) {
		return v
	}
	if !f.sure {
		f.survey()
	}
	v.bound = weightCeil * f.biggest / math.Pow(1+1/f.biggest/meanLoad, crowding)
	if b.set.CrossZoneCost > 0 {
		v.bound *= ownZone
	}
	v.key, v.salts = key, f.salts
	v.guess = math.MaxUint64 - math.MaxUint64/uint64(len(f.servers))*guessed
	best, guess := uint64(0), v.guess
	for i, salt := range v.salts {
		h := stir(key ^ salt)
		if h < guess && h <= best {
			continue
		}
		if h > best {
			best, v.first = h, i
		}
		if h >= guess {
			v.near = append(v.near, likely{h, i})
		}
	}
	return v
}

// servers yields the servers that may be the least, the one with the best chance first.
func (v *sieve) servers(yield func(*server) bool) {
	if v.salts == nil {
		for _, s := range v.all {
			if !yield(s) {
				return
			}
		}
		return
	}
	if !yield(v.all[v.first]) {
		return
	}
	for _, n := range v.near {
		if n.hash >= v.floor && n.at != v.first && !yield(v.all[n.at]) {
			return
		}
	}
	if v.floor >= v.guess {
		return
	}
	for i, salt := range v.salts {
		if h := stir(v.key ^ salt); h >= v.floor && h < v.guess && i != v.first && !yield(v.all[i]) {
			return
		}
	}
}

// found raises the floor to what is needed to come under the least so far.
func (v *sieve) found(least float64) {
	if v.salts != nil {
		// -log(u)/bound has to be under least; a little is left for rounding.
		u := math.Exp(-least * v.bound * (1 + 1e-9))
		v.floor = uint64(max(0, u*(1<<53)-2)) << 11
	}
}
