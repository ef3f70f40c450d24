//go:build !planted_copy

package decide

// Astray is false: it plants a fault for the checks, a further submission past a query's boundary.
const Astray = false
