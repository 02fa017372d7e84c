package load

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 9
)

var plotColours = []color.Color{
	color.RGBA{200, 90, 60, 255}, color.RGBA{220, 170, 60, 255}, color.RGBA{50, 120, 170, 255}, color.RGBA{90, 150, 90, 255},
}

// Plot writes a bar chart of the attained share per class and phase, with one bar
// per report. The file's extension selects the format, such as PNG or SVG.
func Plot(file, title string, reports []*Report) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "share of calls within all targets"
	p.Y.Min, p.Y.Max = 0, 1.15
	p.Legend.Top = true
	var names []string
	for k, r := range reports {
		values := make(plotter.Values, len(r.Classes))
		names = names[:0]
		for i, c := range r.Classes {
			values[i] = c.Attained
			names = append(names, fmt.Sprintf("%s\n%s", c.Class, c.Phase))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotColours[k%len(plotColours)]
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(k) - float64(len(reports)-1)/2))
		p.Add(bars)
		p.Legend.Add(r.Label, bars)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.6
	p.X.Tick.Label.XAlign = -1
	return p.Save(plotWidth+vg.Length(len(names))*vg.Centimeter, plotHeight, file)
}
