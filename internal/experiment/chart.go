package experiment

import (
	"fmt"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
)

const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
	barWidth    = 5 * vg.Millimeter
)

// drawChart writes an SVG bar chart of the worth earned by each ranking at each
// load.
func drawChart(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "worth earned, as a share of the worth if all jobs ended in time"
	p.Y.Min, p.Y.Max = 0, 1
	p.X.Label.Text = "offered load, as a multiple of capacity"
	p.Legend.Top = true
	rankings := dispatch.Rankings()
	var loads []string
	for i, ranking := range rankings {
		var values plotter.Values
		for _, r := range results {
			if r.Config.Ranking != ranking {
				continue
			}
			values = append(values, r.Worth)
			if i == 0 {
				loads = append(loads, fmt.Sprintf("%.2f", r.Config.Load))
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return eris.Wrap(err, "experiment: chart")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(rankings)-1)/2)
		p.Add(bars)
		p.Legend.Add(string(ranking), bars)
	}
	p.NominalX(loads...)
	return eris.Wrap(p.Save(chartWidth, chartHeight, path), "experiment: chart")
}
