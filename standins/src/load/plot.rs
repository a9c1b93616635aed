//! Plots the time to the first token for each request class and placement policy.

use std::{fmt, path};

use plotters::{
    chart, coord, drawing, element, prelude::IntoFont as _, prelude::IntoLogRange as _, series,
    style, style::Color as _,
};

use super::Report;

/// The width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 500);

/// The line colours, assigned to policies in order.
const COLOURS: [style::RGBColor; 4] = [style::RED, style::BLUE, style::GREEN, style::MAGENTA];

/// The error returned when a plot cannot be drawn or written.
#[derive(Debug)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the plot could not be drawn")
    }
}

impl std::error::Error for Error {}

impl<E: std::error::Error + Send + Sync> From<drawing::DrawingAreaErrorKind<E>> for Error {
    fn from(_: drawing::DrawingAreaErrorKind<E>) -> Error {
        Error
    }
}

/// Draws the p50 and p95 of each class to an SVG file, with one series for each policy.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn plot(reports: &[Report], file: &path::Path) -> Result<(), Error> {
    use drawing::IntoDrawingArea as _;

    let area = plotters::backend::SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&style::WHITE)?;
    let classes: Vec<String> = reports
        .first()
        .map(|report| report.lines.iter().map(|line| line.class.clone()).collect())
        .unwrap_or_default();
    let title = reports.first().map_or_else(String::new, |report| {
        format!(
            "Time to first token, {} (p95 in ms; p50 as dots)",
            report.scenario
        )
    });
    let class_count = classes.len().max(1) as f64;
    let mut chart_context = chart::ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18).into_font())
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(-0.5..class_count - 0.5, (1.0..1_000_000.0).log_scale())?;
    let label = |x: &f64| {
        let is_integer = (x.round() - x).abs() < 0.01;
        let class = if is_integer {
            classes.get(x.round() as usize)
        } else {
            None
        };
        class.cloned().unwrap_or_default()
    };
    let drawing = chart_context
        .configure_mesh()
        .x_labels(classes.len() * 2 + 1)
        .x_label_formatter(&label)
        .draw();
    drawing?;
    for (report, colour) in reports.iter().zip(COLOURS.iter().cycle()) {
        draw_policy(&mut chart_context, report, *colour)?;
    }
    chart_context
        .configure_series_labels()
        .border_style(style::BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

type Chart<'a, 'b> = chart::ChartContext<
    'a,
    plotters::backend::SVGBackend<'b>,
    coord::cartesian::Cartesian2d<coord::types::RangedCoordf64, coord::combinators::LogCoord<f64>>,
>;

fn draw_policy(
    chart_context: &mut Chart<'_, '_>,
    report: &Report,
    colour: style::RGBColor,
) -> Result<(), Error> {
    let series_points = |value_of: fn(&super::report::Line) -> f64| -> Vec<(f64, f64)> {
        let lines = report.lines.iter().enumerate();
        lines
            .map(|(index, line)| (index as f64, value_of(line).max(1.0)))
            .collect()
    };
    let p95 = series_points(|line| line.first_token.p95_ms);
    chart_context
        .draw_series(series::LineSeries::new(p95, colour.stroke_width(2)))?
        .label(report.policy.clone())
        .legend(move |(x, y)| element::PathElement::new([(x, y), (x + 20, y)], colour));
    let p50 = series_points(|line| line.first_token.p50_ms);
    chart_context.draw_series(
        p50.into_iter()
            .map(|point| element::Circle::new(point, 3, colour.filled())),
    )?;
    Ok(())
}
