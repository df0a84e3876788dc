//! SVG plots of measurements.

use std::path::Path;

use plotters::prelude::*;

use super::fit::LinearFit;
use crate::error::{Error, Result};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (640, 400);
/// Number of daemons that the design assumes.
const DESIGN_DAEMONS: f64 = 730.0;

/// Draws measurements over the number of daemons, with the fitted line and the budget.
pub(crate) fn draw(path: &Path, title: &str, points: &[(f64, f64)], budget: Option<f64>) -> Result<()> {
    draw_plot(path, title, points, budget).map_err(|error| {
        let (path, reason) = (path.display().to_string(), error.to_string());
        Error::Draw { path, reason }
    })
}

fn draw_plot(
    path: &Path,
    title: &str,
    points: &[(f64, f64)],
    budget: Option<f64>,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let fit = LinearFit::new(points);
    let max_y = points.iter().map(|p| p.1).chain(budget).chain([fit.at(DESIGN_DAEMONS).0]).fold(0.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..DESIGN_DAEMONS * 1.05, 0.0..max_y * 1.1)?;
    chart.configure_mesh().x_desc("daemons").y_desc(title).draw()?;
    let line = [0.0, DESIGN_DAEMONS].map(|x| (x, fit.at(x).0));
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    if let Some(budget) = budget {
        chart.draw_series(LineSeries::new([(0.0, budget), (DESIGN_DAEMONS, budget)], &RED))?;
    }
    chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, BLACK.filled())))?;
    area.present()?;
    Ok(())
}
