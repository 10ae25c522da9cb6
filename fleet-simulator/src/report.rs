//! Reports on an experiment: a Markdown table, CSV, and a self-contained HTML page with plots.
use crate::experiment::{Results, VariantResults, WallTime};
use crate::judge::{Bin, Findings, BIN_US};
use crate::statistics::Summary;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::fmt::Write as _;

/// Length of a bin, in seconds.
const BIN_S: f64 = BIN_US as f64 / 1e6;
/// Largest number of variants in a plot; more curves would be unreadable.
const MAX_PLOTTED: usize = 12;

/// Row of the table: figures of a variant over its seeds.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Row {
    /// Name of the variant.
    pub variant: String,
    /// Number of seeds.
    pub seeds: usize,
    /// Earned worth as a share of the worth of all messages.
    pub service: Summary,
    /// Service in the worst 10 s.
    pub worst_10_s: Summary,
    /// Service in the last 10 s relative to the service before the first disturbance.
    pub at_end: Summary,
    /// Service relative to what capacity allowed.
    pub of_allowed: Summary,
    /// Seconds to recover from the worst disturbance, over the seeds in which service recovered.
    pub recovery_s: Summary,
    /// Number of seeds in which service did not recover from some disturbance.
    pub never_back: usize,
    /// Tries per message.
    pub tries: Summary,
    /// Attempts per message.
    pub attempts: Summary,
    /// Rejections per try.
    pub refused: Summary,
    /// Share of the hosts' work whose response was not used.
    pub wasted: Summary,
    /// Jain's fairness index over the tenants' service.
    pub fairness: Summary,
    /// Number of violations against the rules.
    pub broken: u64,
}

impl Row {
    /// Computes the row of a variant.
    pub fn of(v: &VariantResults) -> Self {
        let sum = |value: &dyn Fn(&Findings) -> f64| Summary::of(&v.values(value));
        let longest = v.values(Findings::longest_recovery);
        let back: Vec<f64> = longest.iter().copied().filter(|s| s.is_finite()).collect();
        Row {
            variant: v.name.clone(),
            seeds: v.runs.len(),
            service: sum(&|f| f.service),
            worst_10_s: sum(&|f| f.worst_10_s),
            at_end: sum(&|f| f.at_end),
            of_allowed: sum(&|f| f.service / f.allowed.max(1e-9)),
            recovery_s: Summary::of(&back),
            never_back: longest.len() - back.len(),
            tries: sum(&|f| f.tries_per_message),
            attempts: sum(&|f| f.attempts_per_message),
            refused: sum(&|f| f.refused.iter().sum()),
            wasted: sum(&|f| f.wasted),
            fairness: sum(&|f| f.fairness),
            broken: v.violation_count(),
        }
    }

    /// Formats the cells of the table.
    fn cells(&self) -> Vec<String> {
        let two = |s: &Summary| format!("{:.2}", s.mean);
        vec![
            self.variant.clone(),
            format!("{:.3} ± {:.3}", self.service.mean, self.service.spread),
            format!("{:.3}", self.service.least),
            format!("{:.3}", self.worst_10_s.mean),
            format!("{:.2}", self.at_end.mean),
            two(&self.of_allowed),
            format!("{:.1}", self.recovery_s.mean),
            self.never_back.to_string(),
            two(&self.tries),
            two(&self.attempts),
            two(&self.refused),
            two(&self.wasted),
            format!("{:.3}", self.fairness.mean),
            self.broken.to_string(),
        ]
    }
}

/// Column headings of the table, in the order of the cells.
const HEADINGS: [&str; 14] = [
    "variant",
    "service",
    "worst seed",
    "worst 10 s",
    "at end",
    "of allowed",
    "recovery s",
    "never back",
    "tries",
    "attempts",
    "refused",
    "wasted",
    "fairness",
    "rules broken",
];

/// Formats the results as a Markdown table.
pub fn table(results: &Results) -> String {
    let rows: Vec<Vec<String>> = results.variants.iter().map(|v| Row::of(v).cells()).collect();
    let width =
        |n: usize| rows.iter().map(|r| r[n].chars().count()).chain([HEADINGS[n].len()]).max().unwrap_or(0);
    let widths: Vec<usize> = (0..HEADINGS.len()).map(width).collect();
    let mut text = String::new();
    let mut line = |cells: &[String]| {
        let padded = cells.iter().zip(&widths).enumerate().map(|(n, (cell, width))| {
            let pad = " ".repeat(width - cell.chars().count().min(*width));
            if n == 0 {
                format!("{cell}{pad}")
            } else {
                format!("{pad}{cell}")
            }
        });
        let _ = writeln!(text, "| {} |", padded.collect::<Vec<_>>().join(" | "));
    };
    line(&HEADINGS.map(String::from));
    let rules = widths.iter().enumerate().map(|(n, w)| match n {
        0 => "-".repeat(*w),
        _ => format!("{}:", "-".repeat(w - 1)),
    });
    line(&rules.collect::<Vec<_>>());
    rows.iter().for_each(|row| line(row));
    text
}

/// Writes the time series of all runs as CSV, one line per bin.
///
/// # Errors
///
/// Fails if a record cannot be serialized.
pub fn csv(results: &Results) -> Result<Vec<u8>, String> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer
        .write_record([
            "variant",
            "seed",
            "second",
            "asked",
            "earned",
            "messages",
            "tries",
            "attempts",
            "over_limit",
            "no_room",
            "too_late",
            "attempts_failed",
            "failed",
            "timed_out",
            "work_s",
            "wasted_s",
            "offered_s",
            "queue",
            "slow_hosts",
            "hosts_up",
            "busy",
        ])
        .map_err(|e| e.to_string())?;
    for v in &results.variants {
        for run in &v.runs {
            for (n, b) in run.findings.bins.iter().enumerate() {
                let [quota_exceeded, no_capacity, too_late, attempts_failed] = b.refused;
                let row = (
                    (&v.name, run.seed, n as f64 * BIN_S, b.asked, b.earned, b.messages, b.tries, b.attempts),
                    (quota_exceeded, no_capacity, too_late, attempts_failed, b.failed, b.timed_out),
                    (b.work, b.wasted, b.offered, b.queue, b.slow, b.up, b.busy),
                );
                writer.serialize(row).map_err(|e| e.to_string())?;
            }
        }
    }
    writer.into_inner().map_err(|e| e.to_string())
}

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type PlotError = Box<dyn std::error::Error>;

/// A curve over time: the mean over a variant's seeds.
struct Curve {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Computes the ratio of two sums over the seeds, second by second.
fn curve(v: &VariantResults, numerator: &dyn Fn(&Bin) -> f64, denominator: &dyn Fn(&Bin) -> f64) -> Curve {
    let bins = v.runs.iter().map(|r| r.findings.bins.len()).min().unwrap_or(0);
    // Two bins make one second, the unit of the plotted rates.
    let points = (0..bins / 2).map(|n| {
        let all = v.runs.iter().flat_map(|r| &r.findings.bins[2 * n..2 * n + 2]);
        let (a, b) = all.fold((0.0, 0.0), |sum, bin| (sum.0 + numerator(bin), sum.1 + denominator(bin)));
        ((2 * n) as f64 * BIN_S, if b > 0.0 { a / b } else { 0.0 })
    });
    Curve { name: v.name.clone(), points: points.collect() }
}

/// Draws a plot as SVG, with the time spans of disturbances marked.
fn plot(results: &Results, title: &str, curves: &[Curve]) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let root: PlotArea = SVGBackend::with_string(&mut svg, (940, 260)).into_drawing_area();
        root.fill(&WHITE)?;
        let max_y = curves.iter().flat_map(|c| &c.points).map(|p| p.1).fold(0.0, f64::max);
        let max_y = if max_y > 0.0 { max_y * 1.08 } else { 1.0 };
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..results.length_s, 0.0..max_y)?;
        chart.configure_mesh().light_line_style(WHITE).draw()?;
        for mark in &results.troubles {
            let area = [(mark.at_s, 0.0), (mark.end_s, max_y)];
            chart.draw_series([Rectangle::new(area, RED.mix(0.08).filled())])?;
            let name = Text::new(mark.name.clone(), (mark.at_s, max_y * 0.98), ("sans-serif", 11));
            chart.draw_series([name])?;
        }
        for (n, curve) in curves.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let line = LineSeries::new(curve.points.iter().copied(), colour.stroke_width(2));
            chart
                .draw_series(line)?
                .label(curve.name.clone())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour.stroke_width(2)));
        }
        root.present()?;
    }
    Ok(svg)
}

/// Formats a legend, shared by all plots with the same curves.
fn legend(names: impl Iterator<Item = String>) -> String {
    let entry = |(n, name): (usize, String)| {
        let RGBAColor(red, green, blue, _) = Palette99::pick(n).to_rgba();
        format!("<span style=\"color:rgb({red},{green},{blue})\">&#9632;</span> {} ", escape(&name))
    };
    format!("<p>{}</p>\n", names.enumerate().map(entry).collect::<String>())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Returns the plots of a page: titles, and one curve per variant.
fn plots(results: &Results) -> Vec<(&'static str, Vec<Curve>)> {
    let shown = &results.variants[..results.variants.len().min(MAX_PLOTTED)];
    let per_bin = |_: &Bin| 1.0;
    let per_second = |_: &Bin| BIN_S;
    let curves = |numerator: &dyn Fn(&Bin) -> f64, denominator: &dyn Fn(&Bin) -> f64| -> Vec<Curve> {
        shown.iter().map(|v| curve(v, numerator, denominator)).collect()
    };
    let refused = |b: &Bin| f64::from(b.refused.iter().sum::<u32>());
    vec![
        (
            "service: worth earned by worth asked, by when the message began",
            curves(&|b| b.earned, &|b| b.asked),
        ),
        ("tries a second, the first ones included", curves(&|b| f64::from(b.tries), &per_second)),
        (
            "tries a message: what clients' retries add",
            curves(&|b| f64::from(b.tries), &|b| f64::from(b.messages)),
        ),
        ("refusals a second", curves(&refused, &per_second)),
        ("attempts sent to hosts a second", curves(&|b| f64::from(b.attempts), &per_second)),
        ("attempts that wait at hosts", curves(&|b| f64::from(b.queue), &per_bin)),
        ("core time in use", curves(&|b| b.busy, &per_bin)),
        ("part of the hosts' work that nobody got an answer from", curves(&|b| b.wasted, &|b| b.work)),
        ("hosts slowed by crowding", curves(&|b| f64::from(b.slow), &per_bin)),
        ("hosts that answer", curves(&|b| f64::from(b.up), &per_bin)),
    ]
}

/// Returns the rates of rejection by reason for the first variant.
fn rejection_reasons(results: &Results) -> Vec<Curve> {
    let Some(v) = results.variants.first() else { return Vec::new() };
    let names = ["over limit", "no room", "too late", "attempts failed"];
    let reason = |n: usize| Curve {
        name: names[n].into(),
        ..curve(v, &move |b: &Bin| f64::from(b.refused[n]), &|_| BIN_S)
    };
    (0..names.len()).map(reason).collect()
}

/// Formats latencies of served messages as a table: the median over the seeds of each percentile.
fn latencies(results: &Results) -> String {
    let mut text =
        String::from("<table><tr><th>variant<th>class<th>p50<th>p90<th>p99<th>p99.9<th>longest</tr>\n");
    for v in &results.variants {
        let classes = v.runs.first().map_or(0, |r| r.findings.latency.len());
        for n in 0..classes {
            let value = |of: &dyn Fn(&crate::judge::Latency) -> f64| {
                let mut all = v.values(|f| of(&f.latency[n]));
                all.sort_by(f64::total_cmp);
                all.get(all.len() / 2).copied().unwrap_or(0.0)
            };
            let name = v.runs.first().map_or("", |r| &r.findings.latency[n].class);
            let cells = [value(&|l| l.p50), value(&|l| l.p90), value(&|l| l.p99), value(&|l| l.p999)];
            let longest = value(&|l| l.max);
            let cells: String = cells.iter().chain([&longest]).map(|c| format!("<td>{c:.0}")).collect();
            let _ = writeln!(text, "<tr><td>{}<td>{}{cells}</tr>", escape(&v.name), escape(name));
        }
    }
    text + "</table>\n"
}

/// Formats a self-contained HTML page. `wall_times` holds the times of the runs, or is empty if unknown.
///
/// # Errors
///
/// Fails if a plot cannot be drawn.
pub fn html(results: &Results, wall_times: &[WallTime]) -> Result<String, String> {
    let mut page = String::new();
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title>\n<style>body{{font:15px \
         sans-serif;margin:2em auto;max-width:60em;padding:0 1em}}table{{border-collapse:collapse}}td,th{{border:\
         1px solid #ccc;padding:2px 8px;text-align:right}}td:first-child,th:first-child{{text-align:left}}svg{{\
         max-width:100%;height:auto}}</style>\n<h1>{0}</h1>\n<p>{1}</p>\n<p>{2} hosts, {3} gateways, {4:.0} s, {5} \
         seeds a variant.</p>\n",
        escape(&results.experiment),
        escape(&results.about),
        results.hosts,
        results.gateways,
        results.length_s,
        results.variants.first().map_or(0, |v| v.runs.len()),
    );
    page.push_str("<table><tr>");
    HEADINGS.iter().for_each(|heading| page.push_str(&format!("<th>{heading}")));
    page.push_str("</tr>\n");
    for v in &results.variants {
        page.push_str("<tr>");
        Row::of(v).cells().iter().for_each(|cell| page.push_str(&format!("<td>{}", escape(cell))));
        page.push_str("</tr>\n");
    }
    page.push_str("</table>\n<h2>Over time in seconds, mean of the seeds</h2>\n");
    page.push_str(&legend(results.variants.iter().take(MAX_PLOTTED).map(|v| v.name.clone())));
    for (title, curves) in plots(results) {
        page.push_str(&plot(results, title, &curves).map_err(|e| e.to_string())?);
    }
    let first = results.variants.first().map_or("", |v| &v.name);
    let title = format!("refusals a second by cause: {first}");
    let rejection_reasons = rejection_reasons(results);
    page.push_str(&plot(results, &title, &rejection_reasons).map_err(|e| e.to_string())?);
    page.push_str(&legend(rejection_reasons.iter().map(|c| c.name.clone())));
    page.push_str("<h2>Latency of served messages from their first try on, in ms, the median seed</h2>\n");
    page.push_str(&latencies(results));
    page.push_str("<h2>Rules broken</h2>\n<ul>\n");
    for v in &results.variants {
        for run in &v.runs {
            for o in &run.findings.broken {
                let (name, count, rule) = (escape(&v.name), o.count, o.rule);
                let first = escape(o.first.first().map_or("", |f| f));
                let _ =
                    writeln!(page, "<li>{name}, seed {}: {rule:?} {count} times, first at {first}", run.seed);
            }
        }
    }
    page.push_str("</ul>\n");
    if !wall_times.is_empty() {
        page.push_str(
            "<h2>What the runs took</h2>\n<table><tr><th>variant<th>s<th>of it in the policy</tr>\n",
        );
        for (v, s) in results.variants.iter().zip(wall_times) {
            let (total, policy) = (s.total.as_secs_f64(), s.policies.as_secs_f64());
            let name = escape(&v.name);
            let _ = writeln!(
                page,
                "<tr><td>{name}<td>{total:.2}<td>{:.0}%</tr>",
                100.0 * policy / total.max(1e-9)
            );
        }
        page.push_str("</table>\n");
    }
    page.push_str("</html>\n");
    Ok(page)
}
