package measure

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Line is the line y = Intercept + Slope·x. R2 is the fraction of the variance of y
// that it explains, from 0 to 1; it is 1 if y is constant.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
}

// Fit returns the least-squares line through the points. It panics if xs and ys differ
// in length or if xs has fewer than two different values.
func Fit(xs, ys []float64) Line {
	if len(xs) != len(ys) || len(xs) < 2 || slices.Min(xs) == slices.Max(xs) {
		panic(errTooFewPoints)
	}
	a, b := stat.LinearRegression(xs, ys, nil, false)
	l := Line{Intercept: a, Slope: b, R2: 1}
	if slices.Min(ys) != slices.Max(ys) {
		l.R2 = stat.RSquared(xs, ys, nil, a, b)
	}
	return l
}

// At returns the value of y at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// errTooFewPoints is the value with which Fit panics.
const errTooFewPoints = usagePanic("measure: a line needs two points with different x, and as many ys as xs")

// usagePanic is the type of panic values that report incorrect use of the package.
type usagePanic string

// Error returns the text of p.
func (p usagePanic) Error() string { return string(p) }

// median returns the median of xs, the mean of the middle two values if their number
// is even.
func median(xs []float64) float64 {
	sorted := slices.Sorted(slices.Values(xs))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
