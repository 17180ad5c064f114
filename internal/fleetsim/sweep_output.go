package fleetsim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// WriteSweep writes the results of a sweep as JSON, and as an HTML page that plots the cold seconds against the share
// of replicas in a model's worst zone.
func WriteSweep(dir string, runs []SweepRun) error {
	data, err := json.MarshalIndent(runs, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "sweep.json"), append(data, '\n'), 0o600); err != nil {
		return err
	}
	svg, err := sweepPlot(runs)
	if err != nil {
		return err
	}
	var page bytes.Buffer
	err = template.Must(template.New("sweep").Parse(sweepTemplate)).Execute(&page, map[string]any{"Runs": runs, "Curve": svg})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "sweep.html"), page.Bytes(), 0o600)
}

const sweepTemplate = `<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Sweep</title>
<style>body { font-family: sans-serif; max-width: 60rem; margin: 2rem auto; } td, th { border: 1px solid #ccc; padding: .25rem .6rem; text-align: right; } table { border-collapse: collapse; } svg { max-width: 100%; height: auto; }</style>
</head><body><h1>Cold starts and zone spread</h1>
{{.Curve}}
<table><tr><th>variant</th><th>seed</th><th>cold starts</th><th>cold seconds</th><th>fetches</th><th>share in the worst zone</th><th>share lost by the worst-hit model</th><th>lost replica seconds</th><th>seconds to full service</th><th>minimum serving share</th><th>rule violations</th></tr>
{{range .Runs}}<tr><td>{{.Variant}}</td><td>{{.Seed}}</td><td>{{.Spread.ColdStarts}}</td><td>{{printf "%.0f" .Spread.ColdSeconds}}</td><td>{{.Spread.Fetches}}</td><td>{{printf "%.3f" .Spread.WorstZone}}</td><td>{{printf "%.3f" .Spread.LostShare}}</td><td>{{printf "%.0f" .Spread.LostReplicaS}}</td><td>{{printf "%.0f" .Spread.FullServiceS}}</td><td>{{printf "%.2f" .Spread.MinServingShare}}</td><td>{{.Violations}}</td></tr>
{{end}}</table></body></html>
`

// PrintSweep prints a table of the results of a sweep.
func PrintSweep(out *os.File, runs []SweepRun) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "variant\tseed\tcold starts\tcold s\tfetches\tin worst zone\tlost share\tlost replica s\tfull service s\tmin serving\tviolations") // Flush returns the error
	for _, r := range runs {
		spread := r.Spread
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%d\t%.3f\t%.3f\t%.0f\t%.0f\t%.2f\t%d\n", r.Variant, r.Seed, spread.ColdStarts, spread.ColdSeconds, spread.Fetches,
			spread.WorstZone, spread.LostShare, spread.LostReplicaS, spread.FullServiceS, spread.MinServingShare, r.Violations)
	}
	return w.Flush()
}

// sweepPlot plots the cold seconds of each simulation against the share of replicas in a model's worst zone.
func sweepPlot(runs []SweepRun) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Cold starts and zone spread", "share of a model's replicas in its worst zone", "cold seconds"
	p.Add(plotter.NewGrid())
	points, variants := map[string]plotter.XYs{}, []string{}
	for _, r := range runs {
		if points[r.Variant] == nil {
			variants = append(variants, r.Variant)
		}
		points[r.Variant] = append(points[r.Variant], plotter.XY{X: r.Spread.WorstZone, Y: r.Spread.ColdSeconds})
	}
	for i, variant := range variants {
		scatter, err := plotter.NewScatter(points[variant])
		if err != nil {
			return "", err
		}
		scatter.Color = plotutil.Color(i)
		scatter.Shape = plotutil.Shape(i)
		p.Add(scatter)
		p.Legend.Add(variant, scatter)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	return svgFragment(canvas)
}
