//go:build planted_draw

package answers

// plantedDraw has a drawn answer kept over a purge, for the tests that must find it.
const plantedDraw = true
