//! SVG plots.

use plotters::{
    coord::Shift,
    prelude::{
        BLACK, ChartBuilder, DrawingArea, IntoDrawingArea, LineSeries, Palette, Palette99,
        PathElement, Rectangle, SVGBackend, SeriesLabelPosition, WHITE,
    },
    style::Color,
};

use crate::{error::BenchError, measure::RunReport};

/// Size of one plot, in pixels.
const WIDTH: u32 = 760;
const HEIGHT: u32 = 300;
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 48;
const TITLE_PX: u32 = 16;
/// Share of a bar's place that the bar takes.
const BAR_SHARE: f64 = 0.38;

type Line = (String, Vec<(f64, f64)>);
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Latency curve and attainment by workspace of two runs, one above the other.
pub(crate) fn comparison_svg(home: &RunReport, baseline: &RunReport) -> Result<String, BenchError> {
    draw(HEIGHT * 2, |area| {
        let panels = area.split_evenly((2, 1));
        let title = format!("{}: latency of whole answers", home.scenario);
        let curves: Vec<Line> = [home, baseline]
            .map(|run| (run.policy.clone(), run.latency_curve.clone()))
            .into();
        lines(
            &panels[0],
            &title,
            ["share of answers", "ms"],
            &curves,
            None,
        )?;
        bars(&panels[1], "attainment by workspace", [home, baseline])
    })
}

/// Attainment over time by workspace.
pub(super) fn timeline_svg(run: &RunReport) -> Result<String, BenchError> {
    let title = format!("{} ({}): attainment over time", run.scenario, run.policy);
    let series: Vec<Line> = run
        .timeline
        .iter()
        .map(|(name, points)| {
            let seconds = points.iter().map(|(ms, share)| (ms / 1_000.0, *share));
            (name.clone(), seconds.collect())
        })
        .collect();
    draw(HEIGHT, |area| {
        lines(area, &title, ["seconds", "attainment"], &series, Some(1.0))
    })
}

fn draw(
    height: u32,
    paint: impl FnOnce(&Area<'_>) -> Result<(), BenchError>,
) -> Result<String, BenchError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        paint(&area)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

fn plot_error(problem: impl std::fmt::Display) -> BenchError {
    BenchError::Plot(problem.to_string())
}

/// Draws lines; the y axis ends a little above `top`, or above the highest point.
fn lines(
    area: &Area<'_>,
    title: &str,
    axes: [&str; 2],
    series: &[Line],
    top: Option<f64>,
) -> Result<(), BenchError> {
    let points = || series.iter().flat_map(|(_, points)| points);
    let right = points().map(|p| p.0).fold(1.0, f64::max);
    let highest = top.unwrap_or_else(|| points().map(|p| p.1).fold(1.0, f64::max));
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .caption(title, ("sans-serif", TITLE_PX))
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..right, 0.0..highest * 1.05)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc(axes[0])
        .y_desc(axes[1])
        .draw()
        .map_err(plot_error)?;
    for (at, (name, points)) in series.iter().enumerate() {
        let style = Palette99::pick(at).stroke_width(2);
        chart
            .draw_series(LineSeries::new(points.iter().copied(), style))
            .map_err(plot_error)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(plot_error)
}

/// Draws attainment of each workspace in both runs as pairs of bars.
fn bars(area: &Area<'_>, title: &str, runs: [&RunReport; 2]) -> Result<(), BenchError> {
    let names: Vec<&String> = runs[0].by_workspace.keys().collect();
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .caption(title, ("sans-serif", TITLE_PX))
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..names.len().max(1) as f64, 0.0..1.05)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(names.len() + 1)
        .x_label_formatter(&|x| {
            // Labels stand at the start of each pair.
            names
                .get(x.round() as usize)
                .map_or_else(String::new, |n| (*n).clone())
        })
        .y_desc("attainment")
        .draw()
        .map_err(plot_error)?;
    for (which, run) in runs.iter().enumerate() {
        let color = Palette99::pick(which);
        let pairs = names.iter().enumerate().map(|(at, name)| {
            let share = run.by_workspace.get(*name).map_or(0.0, |w| w.attainment);
            let left = at as f64 + which as f64 * BAR_SHARE;
            Rectangle::new([(left, 0.0), (left + BAR_SHARE, share)], color.filled())
        });
        chart
            .draw_series(pairs)
            .map_err(plot_error)?
            .label(run.policy.clone())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 16, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(plot_error)
}
