//! Plots of measurements as SVG.

use std::path::Path;

use plotters::prelude::*;

use super::fit::Fit;
use crate::error::{Error, Result};

/// Width and height of a plot.
const SIZE: (u32, u32) = (640, 400);
/// The size of the site that is designed for.
const DAEMONS: f64 = 730.0;

/// Draws measurements over the number of daemons, the line through them, and the budget.
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
    let fit = Fit::new(points);
    let highest = points.iter().map(|p| p.1).chain(budget).chain([fit.at(DAEMONS).0]).fold(0.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..DAEMONS * 1.05, 0.0..highest * 1.1)?;
    chart.configure_mesh().x_desc("daemons").y_desc(title).draw()?;
    let line = [0.0, DAEMONS].map(|x| (x, fit.at(x).0));
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    if let Some(budget) = budget {
        chart.draw_series(LineSeries::new([(0.0, budget), (DAEMONS, budget)], &RED))?;
    }
    chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, BLACK.filled())))?;
    area.present()?;
    Ok(())
}
