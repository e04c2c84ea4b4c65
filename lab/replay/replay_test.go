package replay

import (
	"testing"
)

func TestReplaySites(t *testing.T) {
	for _, site := range []Site{Kasa(), Thapa()} {
		for _, load := range []float64{0.9, 1, 1.1} {
			loaded := site
			loaded.Load *= load
			t.Log(site.Name, load, "three owners", Play(Options{Site: loaded, Seed: 1}))
			t.Log(site.Name, load, "one owner   ", Play(Options{Site: loaded, Seed: 1, OneOwner: true}))
			t.Log(site.Name, load, "clairvoyant ", Play(Options{Site: loaded, Seed: 1, OneOwner: true, Clairvoyant: true}))
		}
	}
}
