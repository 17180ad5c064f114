package fleetsim

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"bitternwing/internal/fleetsim/rolling"
)

//go:embed page.html
var pageTemplate string

// curve is a line in a diagram.
type curve struct {
	name   string
	points plotter.XYs
}

const bytesPerMiB = 1 << 20

// page is the data that pageTemplate renders.
type page struct {
	*Result
	Plots []template.HTML
}

// WritePage writes the result as one self-contained HTML page.
func (r *Result) WritePage(path string) error {
	mebibytes := func(bytes int64) string { return fmt.Sprintf("%.1f", float64(bytes)/bytesPerMiB) }
	t, err := template.New("page").Funcs(template.FuncMap{"mib": mebibytes}).Parse(pageTemplate)
	if err != nil {
		return err
	}
	data := page{Result: r}
	for _, d := range r.diagrams() {
		svg, err := d.svg()
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	var out bytes.Buffer
	if err := t.Execute(&out, data); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o600)
}

// diagram is a plot of values over the time of a simulation.
type diagram struct {
	title, unit string
	curves      []curve
}

// diagrams returns the diagrams of the page.
func (r *Result) diagrams() []diagram {
	series := func(name string, value func(Second) float64) curve {
		c := curve{name: name}
		for _, s := range r.Seconds {
			c.points = append(c.points, plotter.XY{X: s.AtS, Y: value(s)})
		}
		return c
	}
	var cores, memory []curve
	for _, p := range r.Processes {
		c, m := curve{name: p.Name}, curve{name: p.Name}
		for _, s := range p.Samples {
			c.points = append(c.points, plotter.XY{X: s.AtS, Y: s.Cores})
			m.points = append(m.points, plotter.XY{X: s.AtS, Y: s.MemoryMB})
		}
		cores, memory = append(cores, c), append(memory, m)
	}
	return append(r.rolloutDiagrams(), []diagram{
		{"Starts", "tasks per second", []curve{
			series("asked", func(second Second) float64 { return float64(second.Requested) }),
			series("started", func(second Second) float64 { return float64(second.Started) }),
			series("completed", func(second Second) float64 { return float64(second.Completed) })}},
		{"Tasks on machines", "tasks", []curve{series("tasks", func(second Second) float64 { return float64(second.OnMachine) })}},
		{"Workers reporting to the leader", "workers", []curve{series("workers", func(second Second) float64 { return float64(second.Reporting) })}},
		{"CPU usage", "cores", cores},
		{"Resident memory", "MB", memory},
	}...)
}

// rolloutDiagrams returns a diagram of the capacity and one of the traffic shares for each rollout.
func (r *Result) rolloutDiagrams() []diagram {
	var all []diagram
	for i := range r.Rollouts {
		model := &r.Rollouts[i]
		series := func(name string, value func(rolling.Point) float64) curve {
			c := curve{name: name}
			for _, s := range model.Samples {
				c.points = append(c.points, plotter.XY{X: s.AtS, Y: value(s)})
			}
			return c
		}
		all = append(all,
			diagram{model.Model.Name + " (" + string(model.Model.Mode) + "): capacity", "requests", []curve{
				series("promised", func(point rolling.Point) float64 { return point.Promised }),
				series("proved", func(point rolling.Point) float64 { return point.Reported }),
				series("served", func(point rolling.Point) float64 { return point.Served })}},
			diagram{model.Model.Name + ": share of traffic", "share", []curve{
				series("new version", func(point rolling.Point) float64 { return point.NewShare }),
				series("old version", func(point rolling.Point) float64 { return 1 - point.NewShare })}})
	}
	return all
}

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// svg renders the diagram as an SVG element.
func (d *diagram) svg() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = d.title, "seconds", d.unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, c := range d.curves {
		if len(c.points) == 0 {
			continue
		}
		line, err := plotter.NewLine(c.points)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		if len(d.curves) > 1 {
			p.Legend.Add(c.name, line)
		}
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	return svgFragment(canvas)
}

// svgFragment renders a canvas as an SVG element for an HTML page.
func svgFragment(canvas *vgsvg.Canvas) (template.HTML, error) {
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// An SVG element within HTML has no XML prologue. The conversion to template.HTML is safe: the SVG is drawn only
	// from numbers and process names.
	svg := out.Bytes()
	return template.HTML(svg[max(0, bytes.Index(svg, []byte("<svg"))):]), nil
}
