//go:build !planted_draw

package answers

const plantedDraw = false
