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
var pageText string

// curve is a line of a plot.
type curve struct {
	name   string
	points plotter.XYs
}

// page is what the page of a run shows.
type page struct {
	*Result
	Plots []template.HTML
}

// WritePage writes the result as one HTML page that needs nothing else.
func (res *Result) WritePage(path string) error {
	t, err := template.New("page").Funcs(template.FuncMap{"mib": func(bytes int64) string { return fmt.Sprintf("%.1f", float64(bytes)/(1<<20)) }}).Parse(pageText)
	if err != nil {
		return err
	}
	p := page{Result: res}
	for _, d := range res.diagrams() {
		svg, err := d.svg()
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svg)
	}
	var out bytes.Buffer
	if err := t.Execute(&out, p); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o600)
}

// diagram is a plot over the time of a run.
type diagram struct {
	title, unit string
	curves      []curve
}

func (res *Result) diagrams() []diagram {
	perSecond := func(name string, value func(Second) float64) curve {
		c := curve{name: name}
		for _, s := range res.Seconds {
			c.points = append(c.points, plotter.XY{X: s.AtS, Y: value(s)})
		}
		return c
	}
	var cores, memory []curve
	for _, p := range res.Processes {
		c, m := curve{name: p.Name}, curve{name: p.Name}
		for _, s := range p.Samples {
			c.points = append(c.points, plotter.XY{X: s.AtS, Y: s.Cores})
			m.points = append(m.points, plotter.XY{X: s.AtS, Y: s.MemoryMB})
		}
		cores, memory = append(cores, c), append(memory, m)
	}
	return append(res.rolloutDiagrams(), []diagram{
		{"Starts", "tasks a second", []curve{
			perSecond("asked", func(s Second) float64 { return float64(s.Requested) }),
			perSecond("started", func(s Second) float64 { return float64(s.Started) }),
			perSecond("completed", func(s Second) float64 { return float64(s.Completed) })}},
		{"On machines", "tasks", []curve{perSecond("tasks", func(s Second) float64 { return float64(s.OnMachine) })}},
		{"Workers that follow the leader", "workers", []curve{perSecond("workers", func(s Second) float64 { return float64(s.Reporting) })}},
		{"Processor time", "cores", cores},
		{"Resident memory", "MB", memory},
	}...)
}

// rolloutDiagrams shows the capacity and the shares of each rollout over time.
func (res *Result) rolloutDiagrams() []diagram {
	var all []diagram
	for i := range res.Rollouts {
		r := &res.Rollouts[i]
		over := func(name string, value func(rolling.Point) float64) curve {
			c := curve{name: name}
			for _, s := range r.Samples {
				c.points = append(c.points, plotter.XY{X: s.AtS, Y: value(s)})
			}
			return c
		}
		all = append(all,
			diagram{r.Model.Name + " (" + string(r.Model.Mode) + "): capacity", "requests", []curve{
				over("promised", func(p rolling.Point) float64 { return p.Promised }),
				over("proved", func(p rolling.Point) float64 { return p.Proved }),
				over("served", func(p rolling.Point) float64 { return p.Served })}},
			diagram{r.Model.Name + ": share of traffic", "share", []curve{
				over("new version", func(p rolling.Point) float64 { return p.NewShare }),
				over("old version", func(p rolling.Point) float64 { return 1 - p.NewShare })}})
	}
	return all
}

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// svg draws a diagram.
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

// svgFragment gives a canvas as a part of a page.
func svgFragment(canvas *vgsvg.Canvas) (template.HTML, error) {
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// Within a page a picture has no prologue. It is drawn from numbers and the names of processes alone.
	picture := out.Bytes()
	return template.HTML(picture[max(0, bytes.Index(picture, []byte("<svg"))):]), nil
}
