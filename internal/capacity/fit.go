package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Select returns the rows of one figure of a role, of all sizes, in their order.
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
	// Slope is the increase of the value per unit of size, in the rows' unit.
	Slope float64
	// Residual is the root mean square of the residuals, in the rows' unit.
	Residual float64
	// Points is the number of rows.
	Points int
}

// FitLine fits a line to rows by least squares. For rows of fewer than two sizes all fields but Points
// are NaN.
func FitLine(rows []Row) Line {
	sizes, values := make([]float64, len(rows)), make([]float64, len(rows))
	for i, row := range rows {
		sizes[i], values[i] = float64(row.Size), row.Value
	}
	line := Line{Points: len(rows)}
	line.Intercept, line.Slope, line.Residual = leastSquares(sizes, values)
	return line
}

// At returns the line's value at a size.
func (l Line) At(size int) float64 { return l.Intercept + l.Slope*float64(size) }

// Power is a power law, Factor * size^Exponent, through a figure's values.
type Power struct {
	// Factor is the value at size 1, in the rows' unit.
	Factor float64
	// Exponent is 1 if the value is proportional to the size, and 0 if it is independent of the size.
	Exponent float64
	// Residual is the root mean square of the residuals of the natural logarithms: 0.1 is about a
	// tenth of the value.
	Residual float64
	// Points is the number of rows that the curve was fitted to.
	Points int
}

// FitPower fits a power law to rows, as a line through the logarithms. It skips rows whose size or value
// isn't above 0, since they have no logarithm. For fewer than two sizes all fields but Points are NaN.
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

// leastSquares returns the least-squares line through points and the root mean square of its residuals.
// All three are NaN if all x are equal.
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

// changes reports whether not all values of x are equal.
func changes(x []float64) bool {
	for _, value := range x {
		if value != x[0] {
			return true
		}
	}
	return false
}
