//go:build planted_copy

package decide

// Astray plants a fault: a further submission goes past a query's boundary.
const Astray = true
