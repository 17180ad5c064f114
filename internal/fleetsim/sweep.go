package fleetsim

import (
	"bytes"
	"context"
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

// Sweep plays a scenario several times, with other settings of the operators and other seeds.
type Sweep struct {
	Seeds    []uint64  `json:"seeds"`
	Variants []Variant `json:"variants"`
}

// Variant is settings of the operators over those of the scenario.
type Variant struct {
	Name     string         `json:"name"`
	Operator map[string]any `json:"operator"`
}

// SweepRun is a run of a sweep.
type SweepRun struct {
	Variant    string       `json:"variant"`
	Seed       uint64       `json:"seed"`
	Ended      string       `json:"ended"`
	Violations int          `json:"violations"`
	Spread     SpreadResult `json:"spread"`
}

// RunSweep plays a scenario as its sweep says, one run after the other. It goes on after a broken rule, which it gives as its error.
func RunSweep(ctx context.Context, s *Scenario, o Options) ([]SweepRun, error) {
	var runs []SweepRun
	var broken error
	for _, variant := range s.Sweep.Variants {
		for _, seed := range s.Sweep.Seeds {
			one, err := s.with(variant, seed)
			if err != nil {
				return runs, err
			}
			dir := o
			dir.Dir = filepath.Join(o.Dir, fmt.Sprintf("%s-%d", variant.Name, seed))
			if err := os.MkdirAll(dir.Dir, 0o755); err != nil {
				return runs, err
			}
			result, err := Run(ctx, one, dir)
			if result == nil {
				return runs, err
			}
			runs = append(runs, SweepRun{Variant: variant.Name, Seed: seed, Ended: result.Ended, Violations: len(result.Violations), Spread: result.Spread})
			if result.Ended != endedInTime {
				return runs, err
			}
			if err != nil && broken == nil {
				broken = fmt.Errorf("%s, seed %d: %w", variant.Name, seed, err)
			}
		}
	}
	return runs, broken
}

// with gives the scenario with a variant's settings and a seed.
func (s *Scenario) with(variant Variant, seed uint64) (*Scenario, error) {
	settings := map[string]any{}
	if len(s.Operator) > 0 {
		if err := json.Unmarshal(s.Operator, &settings); err != nil {
			return nil, err
		}
	}
	for field, value := range variant.Operator {
		settings[field] = value
	}
	operator, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	one := *s
	one.Sweep, one.Operator, one.Seed = nil, operator, seed
	one.Name = fmt.Sprintf("%s, %s, seed %d", s.Name, variant.Name, seed)
	return &one, nil
}

// WriteSweep keeps the runs of a sweep as JSON and as a page with the curve of cold seconds against the worst loss, and
// prints a table.
func WriteSweep(dir string, runs []SweepRun) error {
	data, err := json.MarshalIndent(runs, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "sweep.json"), append(data, '\n'), 0o600); err != nil {
		return err
	}
	picture, err := sweepPlot(runs)
	if err != nil {
		return err
	}
	var page bytes.Buffer
	err = template.Must(template.New("sweep").Parse(sweepPage)).Execute(&page, map[string]any{"Runs": runs, "Curve": picture})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "sweep.html"), page.Bytes(), 0o600)
}

const sweepPage = `<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Sweep</title>
<style>body { font-family: sans-serif; max-width: 60rem; margin: 2rem auto; } td, th { border: 1px solid #ccc; padding: .25rem .6rem; text-align: right; } table { border-collapse: collapse; } svg { max-width: 100%; height: auto; }</style>
</head><body><h1>Weights against spread</h1>
{{.Curve}}
<table><tr><th>variant</th><th>seed</th><th>cold starts</th><th>cold seconds</th><th>fetches</th><th>worst zone</th><th>taken of the worst model</th><th>lost replica s</th><th>full service s</th><th>least serving</th><th>broken rules</th></tr>
{{range .Runs}}<tr><td>{{.Variant}}</td><td>{{.Seed}}</td><td>{{.Spread.ColdStarts}}</td><td>{{printf "%.0f" .Spread.ColdSeconds}}</td><td>{{.Spread.Fetches}}</td><td>{{printf "%.3f" .Spread.WorstZone}}</td><td>{{printf "%.3f" .Spread.LostShare}}</td><td>{{printf "%.0f" .Spread.LostReplicaS}}</td><td>{{printf "%.0f" .Spread.FullServiceS}}</td><td>{{printf "%.2f" .Spread.MinServingShare}}</td><td>{{.Violations}}</td></tr>
{{end}}</table></body></html>
`

// sweepPlot draws the cold seconds of each run against the share that the loss of a model's worst zone takes.
func sweepPlot(runs []SweepRun) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "The trade", "share of a model's replicas in its worst zone", "cold seconds"
	p.Add(plotter.NewGrid())
	points, order := map[string]plotter.XYs{}, []string{}
	for _, r := range runs {
		if points[r.Variant] == nil {
			order = append(order, r.Variant)
		}
		points[r.Variant] = append(points[r.Variant], plotter.XY{X: r.Spread.WorstZone, Y: r.Spread.ColdSeconds})
	}
	for i, variant := range order {
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

// PrintSweep writes a table of the runs.
func PrintSweep(out *os.File, runs []SweepRun) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "variant\tseed\tcold starts\tcold s\tfetches\tworst zone\ttaken\tlost replica s\tfull service s\tleast serving\tbroken rules") // Flush tells of errors
	for _, r := range runs {
		x := r.Spread
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%d\t%.3f\t%.3f\t%.0f\t%.0f\t%.2f\t%d\n", r.Variant, r.Seed, x.ColdStarts, x.ColdSeconds, x.Fetches,
			x.WorstZone, x.LostShare, x.LostReplicaS, x.FullServiceS, x.MinServingShare, r.Violations)
	}
	return w.Flush()
}
