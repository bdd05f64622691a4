package report

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

var (
	metColor   = color.RGBA{R: 31, G: 119, B: 180, A: 255}
	boundColor = color.RGBA{R: 120, G: 120, B: 120, A: 255}
	movesColor = color.RGBA{R: 214, G: 39, B: 40, A: 255}
)

// WritePlot writes a plot of attainment, bound and moves over time. The extension of
// the file name selects the format, such as PNG.
func (s *Summary) WritePlot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s/%s, load %.2f, seed %d, fault %s",
		s.Meta.Deployment, s.Meta.Policy, s.Meta.Planner, s.Meta.Load, s.Meta.Seed, orNone(s.Meta.Fault))
	p.X.Label.Text = "time of arrival, s"
	p.Y.Label.Text = "fraction met in time; moves per second / 10"
	p.Y.Min, p.Y.Max = 0, 1.05
	var met, bound, moves plotter.XYs
	for _, pt := range s.Series {
		x := float64(pt.Second)
		if pt.Offered > 0 {
			met = append(met, plotter.XY{X: x, Y: float64(pt.Met) / float64(pt.Offered)})
			bound = append(bound, plotter.XY{X: x, Y: float64(pt.Bound) / float64(pt.Offered)})
		}
		if pt.Moves > 0 {
			moves = append(moves, plotter.XY{X: x, Y: float64(pt.Moves) / 10})
		}
	}
	if err := addLine(p, "bound", bound, boundColor); err != nil {
		return err
	}
	if err := addLine(p, "met", met, metColor); err != nil {
		return err
	}
	if err := addPoints(p, "moves", moves); err != nil {
		return err
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return &PlotError{File: file, Err: err}
	}
	return nil
}

// WriteCurve writes a plot of attainment against moves with one line per name. The
// points of a line are connected in the given order.
func WriteCurve(file, title string, names []string, lines map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "moves"
	p.Y.Label.Text = "fraction met in time"
	for i, name := range names {
		shade := color.RGBA{R: uint8(40 + 60*i%200), G: uint8(110 * i % 220), B: uint8(200 - 50*i%200), A: 255}
		if err := addLine(p, name, lines[name], shade); err != nil {
			return err
		}
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return &PlotError{File: file, Err: err}
	}
	return nil
}

func addLine(p *plot.Plot, name string, xys plotter.XYs, c color.Color) error {
	if len(xys) == 0 {
		return nil
	}
	line, points, err := plotter.NewLinePoints(xys)
	if err != nil {
		return &PlotError{Err: err}
	}
	line.Color, points.Color = c, c
	p.Add(line, points)
	p.Legend.Add(name, line)
	return nil
}

func addPoints(p *plot.Plot, name string, xys plotter.XYs) error {
	if len(xys) == 0 {
		return nil
	}
	points, err := plotter.NewScatter(xys)
	if err != nil {
		return &PlotError{Err: err}
	}
	points.Color = movesColor
	p.Add(points)
	p.Legend.Add(name, points)
	return nil
}
