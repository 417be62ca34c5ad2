//! Plot of latency quantiles as SVG.

use std::fmt::Write;
use std::path::Path;

use super::LoadSummary;

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 400.0;
const MARGIN: f64 = 60.0;
/// Number of nines of the highest quantile in the plot, 99.99%; the lowest is the median.
const NINES_MAX: f64 = 4.0;
const POINTS: u32 = 80;
const COLOURS: [&str; 6] = ["#1b6", "#c33", "#36c", "#b80", "#83b", "#555"];

fn x_of(quantile: f64) -> f64 {
    let nines = -(1.0 - quantile).log10();
    MARGIN + (WIDTH - 2.0 * MARGIN) * nines / NINES_MAX
}

fn y_of(ms: f64, max_ms: f64) -> f64 {
    let fraction = (ms.max(0.01) / 0.01).log10() / (max_ms / 0.01).log10();
    HEIGHT - MARGIN - (HEIGHT - 2.0 * MARGIN) * fraction
}

fn curve(summary: &LoadSummary, max_ms: f64) -> String {
    let mut points = String::new();
    for step in 0..=POINTS {
        let nines = 0.3 + (NINES_MAX - 0.3) * f64::from(step) / f64::from(POINTS);
        let quantile = 1.0 - 10f64.powf(-nines);
        let (x, y) = (x_of(quantile), y_of(summary.quantile_ms(quantile), max_ms));
        let _ = write!(points, "{x:.1},{y:.1} ");
    }
    points
}

/// Draws one curve per run, with both axes logarithmic.
///
/// # Errors
/// If the file cannot be written.
pub fn write_plot(path: &Path, runs: &[(String, LoadSummary)]) -> std::io::Result<()> {
    let largest = runs.iter().map(|(_, run)| run.quantile_ms(1.0)).fold(1.0, f64::max);
    let mut svg = format!(
        "<svg xmlns='http://www.w3.org/2000/svg' width='{WIDTH}' height='{HEIGHT}' \
         font-family='sans-serif' font-size='12'><rect width='100%' height='100%' fill='white'/>"
    );
    for quantile in [0.5, 0.9, 0.99, 0.999, 0.9999] {
        let (x, bottom) = (x_of(quantile), HEIGHT - MARGIN);
        let _ = write!(
            svg,
            "<line x1='{x:.1}' x2='{x:.1}' y1='{MARGIN}' y2='{bottom}' stroke='#ddd'/>\
             <text x='{x:.1}' y='{:.1}' text-anchor='middle'>p{}</text>",
            bottom + 18.0,
            quantile * 100.0
        );
    }
    let mut ms = 0.1;
    while ms <= largest {
        let (y, right) = (y_of(ms, largest), WIDTH - MARGIN);
        let _ = write!(
            svg,
            "<line x1='{MARGIN}' x2='{right}' y1='{y:.1}' y2='{y:.1}' stroke='#ddd'/>\
             <text x='{:.1}' y='{y:.1}' text-anchor='end'>{ms} ms</text>",
            MARGIN - 6.0
        );
        ms *= 10.0;
    }
    for (at, (name, run)) in runs.iter().enumerate() {
        let colour = COLOURS[at % COLOURS.len()];
        let points = curve(run, largest);
        #[expect(clippy::cast_precision_loss, reason = "a handful of curves")]
        let y = MARGIN + 16.0 * at as f64;
        let _ = write!(
            svg,
            "<polyline points='{points}' fill='none' stroke='{colour}' stroke-width='2'/>\
             <text x='{:.1}' y='{y:.1}' fill='{colour}'>{name}</text>",
            MARGIN + 10.0
        );
    }
    svg.push_str("</svg>\n");
    std::fs::write(path, svg)
}
