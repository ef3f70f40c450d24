package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Select returns the rows of a role's figure, of all sizes, in their order.
func Select(rows []Row, role, what string) []Row {
	var found []Row
	for _, row := range rows {
		if row.Role == role && row.What == what {
			found = append(found, row)
		}
	}
	return found
}

// Line is a straight line through a figure's values over its sizes.
type Line struct {
	// Intercept is the value at size 0, in the rows' unit.
	Intercept float64
	// Slope is the value for each further one of the size, in the rows' unit.
	Slope float64
	// Residual is the root of the mean square of what the line leaves, in the rows' unit.
	Residual float64
	// Points is the number of rows.
	Points int
}

// Slope fits a line by least squares. Rows of fewer than two sizes have none: all but
// Points is NaN then.
func FitLine(rows []Row) Line {
	sizes, values := make([]float64, len(rows)), make([]float64, len(rows))
	for i, row := range rows {
		sizes[i], values[i] = float64(row.Size), row.Value
	}
	line := Line{Points: len(rows)}
	line.Intercept, line.Slope, line.Residual = leastSquares(sizes, values)
	return line
}

// At is the line's value at a size.
func (l Line) At(size int) float64 { return l.Intercept + l.Slope*float64(size) }

// Power is a curve Factor x size^Exponent through a figure's values.
type Power struct {
	// Factor is the value at size 1, in the rows' unit.
	Factor float64
	// Exponent is 1 where the value grows with the size, 0 where it doesn't depend on it.
	Exponent float64
	// Residual is the root of the mean square of what the curve leaves of the natural
	// logarithms: 0.1 is about a tenth of the value.
	Residual float64
	// Points is the number of rows that the curve was fitted to.
	Points int
}

// Exponent fits a power of the size, as a line through the logarithms. Rows without
// one, of a size or value that isn't above 0, are left out. Fewer than two sizes have
// no curve: all but Points is NaN then.
func FitPower(rows []Row) Power {
	var sizes, values []float64
	for _, row := range rows {
		if row.Size > 0 && row.Value > 0 {
			sizes, values = append(sizes, math.Log(float64(row.Size))), append(values, math.Log(row.Value))
		}
	}
	power := Power{Points: len(sizes)}
	var factor float64
	factor, power.Exponent, power.Residual = leastSquares(sizes, values)
	power.Factor = math.Exp(factor)
	return power
}

// leastSquares is a line through points and what it leaves, all NaN where x never changes.
func leastSquares(x, y []float64) (intercept, slope, residual float64) {
	if !changes(x) {
		return math.NaN(), math.NaN(), math.NaN()
	}
	intercept, slope = stat.LinearRegression(x, y, nil, false)
	squares := 0.0
	for i := range x {
		left := y[i] - intercept - slope*x[i]
		squares += left * left
	}
	return intercept, slope, math.Sqrt(squares / float64(len(x)))
}

func changes(x []float64) bool {
	for _, value := range x {
		if value != x[0] {
			return true
		}
	}
	return false
}
