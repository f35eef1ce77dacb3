// Package plotter draws measurements as grouped bar charts.
//
// # Usage
//
//	p := plotter.New(plotter.Config{Title: "Werkbrug", Unit: "cost per thousand in target"})
//	p.Add("brasschute", []float64{0.13, 0.14, 0.13})
//	err := p.Save("docs/plots/werkbrug-cost.png", []string{"steady", "slow", "reclaim"})
package plotter

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	barWidth = 12 * vg.Millimeter / 3
	width    = 24 * vg.Centimeter
	height   = 11 * vg.Centimeter
	// margin is the space beside the outer groups, in widths of a group.
	margin = 0.5
)

// Config holds the labels of a chart.
type Config struct {
	Title string
	// Unit is the label of the y axis.
	Unit string
}

// Plotter collects the series of one chart. It is not safe for concurrent use.
type Plotter struct {
	c      Config
	names  []string
	series [][]float64
}

// New returns an empty chart.
func New(c Config) *Plotter { return &Plotter{c: c} }

// Add adds a series with one value for each group.
func (p *Plotter) Add(name string, values []float64) {
	p.names = append(p.names, name)
	p.series = append(p.series, values)
}

// Save writes the chart to a file. The file name extension determines the
// format; groups are the labels on the x axis.
func (p *Plotter) Save(file string, groups []string) error {
	chart := plot.New()
	chart.Title.Text = p.c.Title
	chart.Y.Label.Text = p.c.Unit
	chart.Y.Min = 0
	chart.Legend.Top = true
	chart.Legend.Left = false
	for i, values := range p.series {
		bars, err := plotter.NewBarChart(plotter.Values(values), barWidth)
		if err != nil {
			return fmt.Errorf("plot %s: %w", p.names[i], err)
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(p.series)-1)/2)
		chart.Add(bars)
		chart.Legend.Add(p.names[i], bars)
	}
	chart.NominalX(groups...)
	chart.X.Min, chart.X.Max = -margin, float64(len(groups)-1)+margin
	chart.Legend.Padding = vg.Millimeter
	// Leaves space for the legend above the bars.
	const headroom = 1.45
	chart.Y.Max *= headroom
	if err := chart.Save(width, height, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
