//! Line plots as SVG.

use plotters::prelude::*;
use serde::Serialize;

use crate::bench_error::BenchError;

/// Width of an image, in pixels.
const IMAGE_WIDTH: u32 = 900;
/// Height of each plot of an image, in pixels.
const PLOT_HEIGHT: u32 = 320;
/// Factor from the highest point to the top of the vertical axis.
const HEADROOM_FACTOR: f64 = 1.05;

/// One plot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReportPlot {
    /// Caption of the plot.
    pub title: String,
    /// Meaning and unit of the horizontal axis.
    pub x_label: String,
    /// Meaning and unit of the vertical axis.
    pub y_label: String,
    /// Lines, one per policy.
    pub series: Vec<PlotSeries>,
}

/// One line of a plot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlotSeries {
    /// Name in the legend.
    pub name: String,
    /// Points in the order of the horizontal axis.
    pub points: Vec<(f64, f64)>,
}

impl ReportPlot {
    fn x_range(&self) -> std::ops::Range<f64> {
        let points = self.series.iter().flat_map(|s| &s.points);
        let (low, high) = points.fold((f64::MAX, f64::MIN), |(low, high), (x, _)| {
            (low.min(*x), high.max(*x))
        });
        low..high.max(low + f64::EPSILON)
    }

    fn y_top(&self) -> f64 {
        let points = self.series.iter().flat_map(|s| &s.points);
        let top = points.map(|(_, y)| *y).fold(0.0, f64::max);
        (top * HEADROOM_FACTOR).max(f64::EPSILON)
    }
}

/// Draws `plots` one below the other as one SVG image.
pub(super) fn draw(plots: &[ReportPlot]) -> Result<String, BenchError> {
    let mut image = String::new();
    let count = plots.len().max(1);
    {
        let height = PLOT_HEIGHT * count as u32;
        let root = SVGBackend::with_string(&mut image, (IMAGE_WIDTH, height)).into_drawing_area();
        root.fill(&WHITE).map_err(|e| plot_error(&e))?;
        for (area, plot) in root.split_evenly((count, 1)).iter().zip(plots) {
            draw_plot(area, plot).map_err(|e| plot_error(&e))?;
        }
        root.present().map_err(|e| plot_error(&e))?;
    }
    Ok(image)
}

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type DrawError = DrawingAreaErrorKind<std::io::Error>;

fn draw_plot(area: &PlotArea<'_>, plot: &ReportPlot) -> Result<(), DrawError> {
    let mut chart = ChartBuilder::on(area)
        .caption(&plot.title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(plot.x_range(), 0.0..plot.y_top())?;
    chart
        .configure_mesh()
        .x_desc(&plot.x_label)
        .y_desc(&plot.y_label)
        .draw()?;
    for (index, series) in plot.series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(series.points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(line)?
            .label(&series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
}

fn plot_error(error: &DrawError) -> BenchError {
    BenchError::Plot(error.to_string())
}
