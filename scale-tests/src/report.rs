//! Renders the outcomes of runs as Markdown tables and as one self-contained HTML page with plots.
use crate::phase_result::{MemberUsage, PhaseResult};
use crate::run::Outcome;
use crate::traffic::{MessageTotals, Traffic};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write as _;

type BoxError = Box<dyn std::error::Error>;

/// A metric that is plotted against the size of the fleet: its label, and how to read it from an outcome.
type SlopeMetric = (&'static str, fn(&Outcome) -> f64);

/// The metrics that are plotted against the size of the fleet. All but the origin's CPU time should stay
/// flat.
const SLOPE_METRICS: [SlopeMetric; 9] = [
    ("gateway: bytes a second in and out, quiet", |o| total_bytes_per_s(&phase_result(o, "quiet").gateway)),
    ("gateway: bytes a second in and out, changes", |o| {
        total_bytes_per_s(&phase_result(o, "changes").gateway)
    }),
    ("gateway: CPU in % of a core, changes", |o| phase_result(o, "changes").gateway.cpu_share * 100.0),
    ("gateway: resident memory in MB", |o| phase_result(o, "changes").gateway.rss_bytes / 1e6),
    ("gateway: bytes a second for changes, by version", |o| {
        change_bytes_per_revision(&phase_result(o, "changes"))
    }),
    ("change to in force at 99 in 100, ms", |o| phase_result(o, "changes").in_force_ms[1]),
    ("change to in force at the last gateway, ms", |o| phase_result(o, "changes").in_force_ms[2]),
    ("distributor: CPU in % of a core, changes", |o| {
        phase_result(o, "changes").distributor.cpu_share * 100.0
    }),
    ("origin: CPU in % of a core, changes", |o| phase_result(o, "changes").origin.cpu_share * 100.0),
];

/// Returns the result of a phase; zeros if the run has no such phase.
fn phase_result(outcome: &Outcome, phase: &str) -> PhaseResult {
    outcome.phases.iter().find(|r| r.phase == phase).cloned().unwrap_or_default()
}

fn total_bytes_per_s(usage: &MemberUsage) -> f64 {
    usage.traffic.total_read().bytes + usage.traffic.total_written().bytes
}

/// Returns the mean bytes that a gateway reads for one revision, counting only messages with changes.
fn change_bytes_per_revision(result: &PhaseResult) -> f64 {
    let bytes_per_s = result.gateway.traffic.read.get("changes").map_or(0.0, |totals| totals.bytes);
    bytes_per_s * result.seconds / result.revisions.max(1) as f64
}

fn megabytes(bytes: f64) -> String {
    format!("{:.2}", bytes / 1e6)
}

fn markdown_table(headers: &[&str], rows: &[Vec<String>]) -> String {
    let mut text = format!("| {} |\n|", headers.join(" | "));
    for n in 0..headers.len() {
        text.push_str(if n == 0 { " --- |" } else { " ---: |" });
    }
    text.push('\n');
    for row in rows {
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}

/// Renders the outcome of a run as Markdown tables and sentences.
pub fn markdown(outcome: &Outcome) -> String {
    let mut text = String::new();
    let size = &outcome.plan.size;
    let _ = writeln!(
        text,
        "{} gateways, {} hosts, {} services, {} routes, {} tenants; {} distributors, {} regions, {} zones; {} \
         changes of configuration and {:.2} of hosts a second\n",
        size.gateways,
        size.hosts,
        size.services,
        size.routes,
        size.tenants,
        outcome.plan.distributors,
        size.regions,
        size.zones,
        outcome.plan.changes_per_s,
        outcome.plan.host_changes_per_s,
    );
    let start = &outcome.start;
    let _ = writeln!(
        text,
        "start: distributors complete after {:.0} ms; {} of {} gateways complete, half after {:.0} ms, nine in ten after \
         {:.0} ms, the last after {:.0} ms; {} of {} followers of everything complete\n",
        start.distributors_ms,
        start.complete,
        start.gateways,
        start.p50_ms,
        start.p90_ms,
        start.max_ms,
        start.everything.1,
        start.everything.0
    );
    text.push_str(&phase_table(outcome));
    text.push('\n');
    text.push_str(&role_table(outcome));
    text.push('\n');
    text.push_str(&cause_table(outcome));
    if let Some(cost) = &outcome.full_state_cost {
        text.push('\n');
        let changes = phase_result(outcome, "changes");
        let rows = vec![
            vec![
                "before: a version is the whole state".into(),
                cost.bytes.to_string(),
                format!("{:.1}", cost.copy_ms),
                format!("{:.1}", cost.digest_ms),
                format!("{:.1}", cost.conflicts_ms),
            ],
            vec![
                "after: a version is its changes".into(),
                format!("{:.0}", change_bytes_per_revision(&changes)),
                "none".into(),
                format!("{:.4}", cost.digest_update_us / 1e3),
                "none".into(),
            ],
        ];
        let headers = ["one change", "bytes to a gateway", "look, ms", "digest, ms", "compare, ms"];
        text.push_str(&markdown_table(&headers, &rows));
    }
    if !outcome.real.is_empty() {
        let headers = ["real gateways", "control", "asked", "served", "p50, ms", "p99", "longest"];
        let rows: Vec<Vec<String>> = outcome
            .real
            .iter()
            .map(|results| {
                let mut cells =
                    vec![results.phase.clone(), if results.follows_control { "on" } else { "off" }.into()];
                cells.extend([results.requests.to_string(), results.succeeded.to_string()]);
                cells.extend(results.latency_ms.iter().map(|ms| format!("{ms:.2}")));
                cells
            })
            .collect();
        let _ = write!(text, "\n{}", markdown_table(&headers, &rows));
    }
    if let Some((drained, all)) = outcome.real_drain {
        let _ = writeln!(text, "\nafter the bound on its drain, a server got {drained} of {all} requests");
    }
    let (longest_ms, max_ms) = outcome.conflict_ms;
    let _ = writeln!(
        text,
        "\n{} proposals accepted; two followers acted on different revisions for at most {longest_ms:.0} \
         ms, allowed {max_ms:.0} ms",
        outcome.accepted
    );
    for drain in &outcome.drains {
        let suffix = if drain.judged { "" } else { ", not judged" };
        let _ = writeln!(
            text,
            "drain in {}: {} of {} followers still sent requests to the host 5 s later{suffix}",
            drain.phase, drain.still_sending, drain.probed
        );
    }
    for violation in &outcome.violations {
        let _ = writeln!(text, "broken: {:?}: {}", violation.invariant, violation.description);
    }
    let _ = writeln!(text, "{} promises broken", outcome.violations.len());
    text
}

fn phase_table(outcome: &Outcome) -> String {
    let headers = [
        "phase",
        "s",
        "versions",
        "in force p50, ms",
        "p99",
        "last",
        "missing",
        "all there after, ms",
        "B/s a gateway in",
        "out",
        "most in",
        "load",
        "idle",
    ];
    let rows: Vec<Vec<String>> = outcome
        .phases
        .iter()
        .map(|result| {
            let traffic = &result.gateway.traffic;
            let in_force_ms = |n: usize| {
                if result.revisions == 0 {
                    "-".into()
                } else {
                    format!("{:.0}", result.in_force_ms[n])
                }
            };
            vec![
                result.phase.clone(),
                format!("{:.1}", result.seconds),
                result.revisions.to_string(),
                in_force_ms(0),
                in_force_ms(1),
                in_force_ms(2),
                result.missing.to_string(),
                match (result.revisions, result.ready_ms) {
                    (0, _) => "-".into(),
                    (_, None) => format!("{:.0}", result.settled_ms),
                    (_, Some((p50, p90))) => {
                        format!(
                            "{:.0}; ready after {p50:.0} (half), {p90:.0} (nine in ten)",
                            result.settled_ms
                        )
                    }
                },
                format!("{:.0}", traffic.total_read().bytes),
                format!("{:.0}", traffic.total_written().bytes),
                format!("{:.0}", result.max_bytes_per_s),
                format!("{:.1}", result.load),
                format!("{:.0}%", result.idle_share * 100.0),
            ]
        })
        .collect();
    markdown_table(&headers, &rows)
}

fn role_table(outcome: &Outcome) -> String {
    let headers =
        ["phase", "role", "CPU, % of a core", "RSS, MB", "in B/s", "in msg/s", "out B/s", "out msg/s"];
    let mut rows = Vec::new();
    for result in &outcome.phases {
        let distributor = format!("a distributor (most: {:.1}%)", result.max_distributor_cpu_share * 100.0);
        let mut roles: Vec<(String, &MemberUsage)> = vec![
            ("a gateway".into(), &result.gateway),
            (distributor, &result.distributor),
            ("the origin".into(), &result.origin),
        ];
        if let Some(everything) = &result.everything {
            roles.push(("a follower of everything".into(), everything));
        }
        for (role, usage) in roles {
            let (read, written): (MessageTotals, MessageTotals) =
                (usage.traffic.total_read(), usage.traffic.total_written());
            rows.push(vec![
                result.phase.clone(),
                role,
                format!("{:.3}", usage.cpu_share * 100.0),
                megabytes(usage.rss_bytes),
                format!("{:.0}", read.bytes),
                format!("{:.2}", read.messages),
                format!("{:.0}", written.bytes),
                format!("{:.2}", written.messages),
            ]);
        }
        rows.push(vec![
            result.phase.clone(),
            "the run itself, with its links".into(),
            format!("{:.1}", result.run_cpu_share * 100.0),
        ]);
    }
    rows.iter_mut().for_each(|row| row.resize(headers.len(), "-".into()));
    let mut text = markdown_table(&headers, &rows);
    if let Some(result) = outcome.phases.last() {
        let _ = writeln!(
            text,
            "\nstate by its own count: {} MB a gateway, {} MB a follower of everything",
            megabytes(result.gateway_state_bytes),
            megabytes(result.everything_state_bytes)
        );
    }
    text
}

fn cause_table(outcome: &Outcome) -> String {
    let headers =
        ["phase", "cause", "gateway B/s", "msg/s", "distributor B/s", "msg/s", "origin B/s", "msg/s"];
    let mut rows = Vec::new();
    for result in &outcome.phases {
        let traffic_by_role = [&result.gateway.traffic, &result.distributor.traffic, &result.origin.traffic];
        for (direction, select) in [
            ("in", (|t: &Traffic| t.read.clone()) as fn(&Traffic) -> BTreeMap<String, MessageTotals>),
            ("out", |t: &Traffic| t.written.clone()),
        ] {
            let totals_by_role: Vec<_> = traffic_by_role.iter().map(|t| select(t)).collect();
            let mut causes: Vec<_> = totals_by_role.iter().flat_map(|m| m.keys().cloned()).collect();
            causes.sort();
            causes.dedup();
            for cause in causes {
                let mut cells = vec![result.phase.clone(), format!("{direction}: {cause}")];
                for totals_by_cause in &totals_by_role {
                    let totals = totals_by_cause.get(&cause).copied().unwrap_or_default();
                    cells.extend([format!("{:.0}", totals.bytes), format!("{:.2}", totals.messages)]);
                }
                rows.push(cells);
            }
        }
    }
    markdown_table(&headers, &rows)
}

/// Renders the slope metrics over runs of several sizes as a Markdown table; empty for a single run. `size`
/// describes the size in which the runs differ: a label, and a function that reads the size from an outcome.
pub fn slope_table(outcomes: &[Outcome], size: (&str, fn(&Outcome) -> f64)) -> String {
    if outcomes.len() < 2 {
        return String::new();
    }
    let mut headers = vec![size.0.to_string()];
    headers.extend(outcomes.iter().map(|o| format!("{:.0}", (size.1)(o))));
    headers.push("last / first".into());
    let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
    let rows: Vec<Vec<String>> = SLOPE_METRICS
        .iter()
        .map(|(name, value_of)| {
            let values: Vec<f64> = outcomes.iter().map(value_of).collect();
            let mut cells = vec![name.to_string()];
            cells.extend(values.iter().map(|v| format!("{v:.3}")));
            let (first, last) = (values[0], values[values.len() - 1]);
            cells.push(if first > 0.0 { format!("{:.2}", last / first) } else { "-".into() });
            cells
        })
        .collect();
    markdown_table(&headers, &rows)
}

type DrawingRoot<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Renders a line plot as SVG; a wide plot has no point markers.
fn plot(title: &str, x_label: &str, points: &[(f64, f64)], wide: bool) -> Result<String, BoxError> {
    let mut svg = String::new();
    {
        let root: DrawingRoot =
            SVGBackend::with_string(&mut svg, (if wide { 940 } else { 460 }, 240)).into_drawing_area();
        root.fill(&WHITE)?;
        let axis_end = |coordinate: fn(&(f64, f64)) -> f64| {
            points.iter().map(coordinate).fold(0.0, f64::max).max(1e-9) * 1.08
        };
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 13))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..axis_end(|p| p.0), 0.0..axis_end(|p| p.1))?;
        chart.configure_mesh().light_line_style(WHITE).x_desc(x_label).draw()?;
        let colour = Palette99::pick(0).to_rgba();
        chart.draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?;
        if !wide {
            chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, colour.filled())))?;
        }
        root.present()?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Renders the outcomes as an HTML page: the slopes over several runs, then the plots and tables of each run.
pub fn html_page(outcomes: &[Outcome], size: (&str, fn(&Outcome) -> f64)) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>scale</title>\n<style>body{font:15px \
         sans-serif;margin:2em auto;max-width:64em;padding:0 1em}pre{overflow-x:auto;font-size:12px}svg{max-width:100%;\
         height:auto}</style>\n<h1>The scale run</h1>\n",
    );
    if outcomes.len() > 1 {
        page.push_str("<h2>Slopes</h2>\n");
        for (name, value_of) in SLOPE_METRICS {
            let points: Vec<_> = outcomes.iter().map(|o| ((size.1)(o), value_of(o))).collect();
            page.push_str(
                &plot(name, size.0, &points, false)
                    .map_err(|e| format!("cannot draw the plot {name:?}: {e}"))?,
            );
        }
        let _ = writeln!(page, "<pre>{}</pre>", escape(&slope_table(outcomes, size)));
    }
    for outcome in outcomes {
        let _ = writeln!(
            page,
            "<h2>{} gateways, {} hosts</h2>",
            outcome.plan.size.gateways, outcome.plan.size.hosts
        );
        for result in outcome.phases.iter().filter(|r| !r.in_force_histogram.is_empty()) {
            let all: u64 = result.in_force_histogram.iter().map(|(_, n)| n).sum();
            let mut reached = 0;
            let points: Vec<_> = result
                .in_force_histogram
                .iter()
                .map(|(ms, n)| {
                    reached += n;
                    (*ms, reached as f64 / all.max(1) as f64)
                })
                .collect();
            let title = format!("{}: share of gateways at which a change was in force, by ms", result.phase);
            page.push_str(
                &plot(&title, "ms since its proposal", &points, true)
                    .map_err(|e| format!("cannot draw the plot {title:?}: {e}"))?,
            );
        }
        let _ = writeln!(page, "<pre>{}</pre>", escape(&markdown(outcome)));
    }
    Ok(page)
}
