package slopes

import (
	"image/color"
	"math"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of the plot of one cost.
const (
	tileWidth  = 8 * vg.Centimeter
	tileHeight = 6 * vg.Centimeter
	tileGap    = 5 * vg.Millimeter
	tilesInRow = 3
)

// draw writes an SVG file with a plot for each cost, of its runs and the fitted line.
func (r *result) draw(path string) error {
	names := r.nonZeroNames()
	columns := min(tilesInRow, len(names))
	rows := (len(names) + columns - 1) / columns
	plots := make([][]*plot.Plot, rows)
	for i := range plots {
		plots[i] = make([]*plot.Plot, columns)
	}
	for i, name := range names {
		p, err := r.plotOf(name)
		if err != nil {
			return err
		}
		plots[i/columns][i%columns] = p
	}
	canvas := vgsvg.New(vg.Length(columns)*tileWidth, vg.Length(rows)*tileHeight)
	tiles := draw.Tiles{Rows: rows, Cols: columns, PadX: tileGap, PadY: tileGap}
	canvases := plot.Align(plots, tiles, draw.New(canvas))
	for i, row := range plots {
		for j, p := range row {
			if p != nil {
				p.Draw(canvases[i][j])
			}
		}
	}
	return writeSVG(canvas, path)
}

func writeSVG(canvas *vgsvg.Canvas, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// plotOf returns the plot of one cost.
func (r *result) plotOf(name string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = name
	p.Title.TextStyle.Font.Size = font.Length(10)
	p.X.Label.Text = r.Variable
	p.Y.Min = 0
	runs, err := plotter.NewScatter(r.runsOf(name))
	if err != nil {
		return nil, err
	}
	runs.Shape = draw.CircleGlyph{}
	runs.Color = color.RGBA{B: 160, A: 255}
	f := r.fitOf(name)
	line := plotter.NewFunction(func(x float64) float64 { return f.Intercept + f.Slope*x })
	line.Color = color.RGBA{R: 200, A: 255}
	p.Add(plotter.NewGrid(), runs, line)
	p.Y.Min = math.Min(0, p.Y.Min)
	return p, nil
}

// runsOf returns the runs of one cost as points of a plot.
func (r *result) runsOf(name string) plotter.XYs {
	var xys plotter.XYs
	for _, p := range r.Points {
		for _, y := range p.values(name) {
			xys = append(xys, plotter.XY{X: p.X, Y: y})
		}
	}
	return xys
}
