//! Plots burn rates as a self-contained SVG.

use crate::error::{Error, Result};
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};
use redwingtrestle_core::process::burn::ALERTS;
use redwingtrestle_wire::burn::BurnReport;

/// One colour for each window, distinguishable with red-green colour blindness.
const COLOURS: [RGBColor; 4] =
    [RGBColor(213, 94, 0), RGBColor(230, 159, 0), RGBColor(86, 180, 233), RGBColor(0, 114, 178)];

/// Maximum burn rate of the plot. Higher bars are clipped.
const MAX_RATE: f64 = 100.0;

/// Maximum number of ranks in the plot, because wider plots are hard to open.
const MAX_GROUPS: usize = 200;

/// Width of one rank's group of bars, in pixels.
const GROUP_WIDTH: u32 = 90;

/// Draws the burn rate of each rank in each window, with a line at the factor of each alert rule.
pub fn burn(report: &BurnReport) -> Result<String> {
    let mut svg = String::new();
    draw(report, &mut svg).map_err(|what| Error::Plot { what })?;
    Ok(svg)
}

fn draw(report: &BurnReport, svg: &mut String) -> Result<(), String> {
    let groups = report.rows.len().clamp(1, MAX_GROUPS);
    let size = (140 + GROUP_WIDTH * (groups as u32).max(4), 420);
    let area = SVGBackend::with_string(svg, size).into_drawing_area();
    area.fill(&WHITE).map_err(|e| e.to_string())?;
    let rates = report.rows.iter().flat_map(|r| r.windows.iter().map(|w| w.burn_rate));
    let peak = rates.filter(|r| r.is_finite()).fold(16.0_f64, f64::max).min(MAX_RATE);
    let mut caption = format!("Burn rates, version {}", report.version);
    if report.rows.len() > groups {
        caption += &format!(", first {groups} of {} ranks", report.rows.len());
    }
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .set_label_area_size(LabelAreaPosition::Left, 50)
        .set_label_area_size(LabelAreaPosition::Bottom, 60)
        .build_cartesian_2d(0.0..groups as f64, 0.0..peak * 1.05)
        .map_err(|e| e.to_string())?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .y_desc("times the allowed rate")
        .draw()
        .map_err(|e| e.to_string())?;
    for (i, row) in report.rows.iter().take(groups).enumerate() {
        for (j, (window, colour)) in row.windows.iter().zip(COLOURS).enumerate() {
            let left = i as f64 + 0.1 + 0.2 * j as f64;
            let bar = [(left, 0.0), (left + 0.18, window.burn_rate.clamp(0.0, peak))];
            chart.draw_series([Rectangle::new(bar, colour.filled())]).map_err(|e| e.to_string())?;
        }
    }
    for rule in ALERTS {
        let line = LineSeries::new([(0.0, rule.factor), (groups as f64, rule.factor)], &BLACK);
        chart.draw_series(line).map_err(|e| e.to_string())?;
    }
    // Each group is labelled below the axis with two lines: the service and the rank.
    let centred = Pos::new(HPos::Center, VPos::Top);
    for (i, row) in report.rows.iter().take(groups).enumerate() {
        let (x, y) = chart.backend_coord(&(i as f64 + 0.5, 0.0));
        for (line, name) in [&row.service, &row.rank].into_iter().enumerate() {
            let style = TextStyle::from(("sans-serif", 12).into_font()).pos(centred);
            let name: String = name.chars().take(14).collect();
            area.draw_text(&name, &style, (x, y + 6 + 14 * line as i32))
                .map_err(|e| e.to_string())?;
        }
    }
    for (i, (name, colour)) in ["5 min", "30 min", "1 h", "6 h"].iter().zip(COLOURS).enumerate() {
        let (x, y) = (70 + 70 * i as i32, size.1 as i32 - 20);
        let key = Rectangle::new([(x, y), (x + 10, y + 10)], colour.filled());
        area.draw(&key).map_err(|e| e.to_string())?;
        let style = TextStyle::from(("sans-serif", 12).into_font());
        area.draw_text(name, &style, (x + 14, y)).map_err(|e| e.to_string())?;
    }
    area.present().map_err(|e| e.to_string())
}
