//! Plots as SVG files.

use std::path;

use plotters::backend;
use plotters::chart;
use plotters::drawing::IntoDrawingArea as _;
use plotters::element;
use plotters::series;
use plotters::style;
use plotters::style::Color as _;

const SIZE: (u32, u32) = (960, 540);
const FONT: (&str, u32) = ("sans-serif", 18);

#[derive(Clone, Debug)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// Title, axis labels and tick labels of a plot.
#[derive(Clone, Copy, Debug)]
pub struct Labels<'a> {
    pub title: &'a str,
    /// Name and unit of the horizontal axis.
    pub x: &'a str,
    /// Name and unit of the vertical axis.
    pub y: &'a str,
    /// Labels at x = 0, 1 and so on. Empty for a numeric axis.
    pub positions: &'a [String],
}

/// Draws a line plot into an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw(path: &path::Path, labels: Labels<'_>, lines: &[Line]) -> buckthorncleat::Result<()> {
    try_draw(path, labels, lines).map_err(|e| {
        let doing = format!("draw {}", path.display());
        buckthorncleat::Error::io(doing, std::io::Error::other(e.to_string()))
    })
}

fn try_draw(
    path: &path::Path,
    labels: Labels<'_>,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let right = points().map(|p| p.0).fold(1.0, f64::max);
    let top = points().map(|p| p.1).fold(0.0, f64::max) * 1.1 + f64::EPSILON;
    let area = backend::SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&style::WHITE)?;
    let mut chart = chart::ChartBuilder::on(&area)
        .caption(labels.title, FONT)
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    let position = |x: &f64| match labels.positions.get(*x as usize) {
        Some(name) if x.fract() == 0.0 => name.clone(),
        _ if labels.positions.is_empty() => format!("{x}"),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .x_desc(labels.x)
        .y_desc(labels.y)
        .x_label_formatter(&position)
        .draw()?;
    for (i, line) in lines.iter().enumerate() {
        let colour = <style::Palette99 as style::Palette>::pick(i).stroke_width(2);
        let series = series::LineSeries::new(line.points.iter().copied(), colour);
        chart
            .draw_series(series)?
            .label(&line.name)
            .legend(move |(x, y)| element::PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(style::WHITE.mix(0.8))
        .border_style(style::BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
