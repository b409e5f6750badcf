package dispatch

import "testing"

// Names of images come from callers. Those beyond a limit share what is learned.
func TestImagesOfCallersGrowTheMatrix(t *testing.T) {
	r := newRig(t, "w1")
	name := func(kind string, i int) string { return kind + string(rune('a'+i%26)) + string(rune('a'+i/26)) }
	for i := range 500 {
		r.m.interference.pressureBetween(name("f", i), name("s", i))
	}
	in := r.m.interference
	if len(in.bestEffort) > maxImages || len(in.serving) > maxImages || len(in.pressure) > maxImages {
		t.Errorf("%d and %d images, %d rows, want at most %d", len(in.bestEffort), len(in.serving), len(in.pressure), maxImages)
	}
	if a, b := in.bestEffort.number("f-other"), in.bestEffort.number("f-another"); a != b || a != in.bestEffort.number("") {
		t.Errorf("images beyond the limit have the numbers %d and %d", a, b)
	}
	if got := len(in.bestEffort.names()); got != len(in.bestEffort) {
		t.Errorf("%d names of %d images", got, len(in.bestEffort))
	}
}
