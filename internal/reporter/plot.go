//nolint:misspell // identifiers of the plot library are spelt the American way
package reporter

import (
	"image/color"
	"io"
	"maps"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"quincepath.example/quincepath/internal/replayer"
)

const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 15 * vg.Centimeter
	dotRadius  = vg.Length(1.6)
	// leastPlotted keeps zero off the logarithmic axis; times are in milliseconds.
	leastPlotted = 0.1
	// legendRoom widens the time axis, so that the legend hides no dots.
	legendRoom = 1.5
	// legendPlace is where the legend begins, as a part of the width.
	legendPlace = 0.62
	brightness  = 0.85
)

// WritePlot writes an SVG plot of the latency over the trace's time, with one
// colour for each class. Crosses are requests that got no whole answer, at the time that their ending took.
func WritePlot(w io.Writer, result replayer.Result) error {
	p := newPlot()
	series := pointsOf(result.Outcomes)
	shades := palette.Rainbow(len(series)+1, palette.Red, palette.Magenta, 1, brightness, 1).Colors()

	for i, name := range slices.Sorted(maps.Keys(series)) {
		if err := series[name].draw(p, name, shades[i]); err != nil {
			return errors.Wrapf(err, "plot %s", name)
		}
	}

	setRanges(p)

	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))

	_, err := canvas.WriteTo(w)

	return errors.Wrap(err, "write the plot")
}

func newPlot() *plot.Plot {
	p := plot.New()
	p.X.Label.Text = "sent (s)"
	p.Y.Label.Text = "first token or whole plain answer (ms)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.XOffs = plotWidth * legendPlace

	return p
}

// setRanges widens the axes that the points set.
func setRanges(p *plot.Plot) {
	p.X.Min = 0
	p.X.Max = math.Max(p.X.Max, 1) * legendRoom

	// A range of one value has no place on a logarithmic axis.
	p.Y.Min = math.Min(p.Y.Min, 1)
	p.Y.Max = math.Max(p.Y.Max, 10)
}

// pointsOf returns the points of each class by its name.
func pointsOf(outcomes []replayer.Outcome) map[string]*points {
	series := map[string]*points{}

	for _, v := range outcomes {
		name := replayer.KeyOf(v).String()
		if series[name] == nil {
			series[name] = &points{}
		}

		series[name].add(v)
	}

	return series
}

// points are the dots and crosses of one class.
type points struct {
	whole, other plotter.XYs
}

func (s *points) add(o replayer.Outcome) {
	length := o.Duration
	if o.Ending == replayer.Whole {
		length = o.Latency()
	}

	at := plotter.XY{X: o.Due.Seconds(), Y: math.Max(milliseconds(length), leastPlotted)}

	if o.Ending == replayer.Whole {
		s.whole = append(s.whole, at)
	} else {
		s.other = append(s.other, at)
	}
}

func (s *points) draw(p *plot.Plot, name string, shade color.Color) error {
	for _, v := range []struct {
		dots  plotter.XYs
		shape draw.GlyphDrawer
		label string
	}{{s.whole, draw.CircleGlyph{}, name}, {s.other, draw.CrossGlyph{}, name + ", not whole"}} {
		if len(v.dots) == 0 {
			continue
		}

		scatter, err := plotter.NewScatter(v.dots)
		if err != nil {
			return err
		}

		scatter.GlyphStyle = draw.GlyphStyle{Color: shade, Radius: dotRadius, Shape: v.shape}
		p.Add(scatter)
		p.Legend.Add(v.label, scatter)
	}

	return nil
}
