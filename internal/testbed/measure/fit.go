package measure

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Line is y = Intercept + Slope·x. R2 is the part of the variance of y that it
// explains, from 0 to 1; 1 if y does not vary.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
}

// Fit returns the line through points by least squares. It panics if xs and ys
// differ in length or if there are fewer than two different x.
func Fit(xs, ys []float64) Line {
	if len(xs) != len(ys) || len(xs) < 2 || slices.Min(xs) == slices.Max(xs) {
		panic(errFit)
	}
	a, b := stat.LinearRegression(xs, ys, nil, false)
	l := Line{Intercept: a, Slope: b, R2: 1}
	if slices.Min(ys) != slices.Max(ys) {
		l.R2 = stat.RSquared(xs, ys, nil, a, b)
	}
	return l
}

// At returns y at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// errFit is what Fit panics with.
const errFit = misuse("measure: a line needs two different points")

// misuse is an error of a programmer.
type misuse string

// Error returns the text of m.
func (m misuse) Error() string { return string(m) }

// median returns the middle of xs, the mean of the middle two if their count is
// even.
func median(xs []float64) float64 {
	sorted := slices.Sorted(slices.Values(xs))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
