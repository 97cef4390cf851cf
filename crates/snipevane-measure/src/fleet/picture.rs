//! Draws the shares of the largest teams over time.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use super::share_meter::{Minute, ShareMeter};
use crate::MeasureError;

const SIZE: (u32, u32) = (900, 700);
const MOST_TEAMS: usize = 6;
const MINUTE_SECS: f64 = 60.0;
const PERCENT: f64 = 100.0;

/// Draws what teams used (lines) above each other: the policy, then the naive version.
pub(super) fn draw(
    file: &Path,
    policy: &ShareMeter,
    naive: &ShareMeter,
) -> Result<(), MeasureError> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(failed)?;
    let panels = root.split_evenly((2, 1));
    for (panel, (name, meter)) in panels.iter().zip([("policy", policy), ("naive", naive)]) {
        let minutes = &meter.minutes;
        let last = minutes
            .last()
            .map_or(1.0, |minute| minute.secs / MINUTE_SECS);
        let mut chart = ChartBuilder::on(panel)
            .caption(
                format!("{name}: part of the fleet used"),
                ("sans-serif", 18),
            )
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..last, 0.0..highest(minutes))
            .map_err(failed)?;
        chart
            .configure_mesh()
            .x_desc("minutes")
            .y_desc("% of fleet")
            .draw()
            .map_err(failed)?;
        for team in largest(minutes) {
            let color = Palette99::pick(team).to_rgba();
            let used = minutes
                .iter()
                .map(|minute| point(minute, minute.used[team]));
            let ideal = minutes
                .iter()
                .map(|minute| point(minute, minute.ideal[team]));
            chart
                .draw_series(LineSeries::new(used, color.stroke_width(2)))
                .map_err(failed)?
                .label(format!("team {team}"))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
            chart
                .draw_series(LineSeries::new(ideal, color.mix(0.4)))
                .map_err(failed)?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(failed)?;
    }
    root.present().map_err(failed)
}

fn point(minute: &Minute, part: f64) -> (f64, f64) {
    (minute.secs / MINUTE_SECS, part * PERCENT)
}

fn highest(minutes: &[Minute]) -> f64 {
    let parts = minutes.iter().flat_map(|minute| minute.used.iter());
    parts.copied().fold(0.01, f64::max) * PERCENT * 1.1
}

fn largest(minutes: &[Minute]) -> Vec<usize> {
    let Some(first) = minutes.first() else {
        return Vec::new();
    };
    let mut teams: Vec<usize> = (0..first.ideal.len()).collect();
    teams.sort_by(|&a, &b| first.ideal[b].total_cmp(&first.ideal[a]));
    teams.truncate(MOST_TEAMS);
    teams
}

fn failed(err: impl std::fmt::Display) -> MeasureError {
    MeasureError::Picture(err.to_string())
}
