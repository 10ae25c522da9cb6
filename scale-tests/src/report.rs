//! What people read of runs: tables in Markdown, and one self-contained HTML page with a plot of each slope.
use crate::phase_result::{Row, Taken};
use crate::run::Outcome;
use crate::traffic::{Sum, Traffic};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write as _;

type Failure = Box<dyn std::error::Error>;

/// A figure that may grow with size: its name, and how it is read off a run.
type Figure = (&'static str, fn(&Outcome) -> f64);

/// What is drawn against size; all but the last are to be flat.
const SLOPES: [Figure; 9] = [
    ("gateway: bytes a second in and out, quiet", |o| bytes(&row(o, "quiet").gateway)),
    ("gateway: bytes a second in and out, changes", |o| bytes(&row(o, "changes").gateway)),
    ("gateway: CPU in % of a core, changes", |o| row(o, "changes").gateway.cpu * 100.0),
    ("gateway: resident memory in MB", |o| row(o, "changes").gateway.rss / 1e6),
    ("gateway: bytes a second for changes, by version", |o| change_bytes(&row(o, "changes"))),
    ("change to in force at 99 in 100, ms", |o| row(o, "changes").in_force_ms[1]),
    ("change to in force at the last gateway, ms", |o| row(o, "changes").in_force_ms[2]),
    ("distributor: CPU in % of a core, changes", |o| row(o, "changes").distributor.cpu * 100.0),
    ("origin: CPU in % of a core, changes", |o| row(o, "changes").origin.cpu * 100.0),
];

fn row(outcome: &Outcome, phase: &str) -> Row {
    outcome.rows.iter().find(|r| r.phase == phase).cloned().unwrap_or_default()
}

fn bytes(taken: &Taken) -> f64 {
    taken.traffic.all_read().bytes + taken.traffic.all_written().bytes
}

/// Bytes to a gateway for one version, over its changes alone.
fn change_bytes(row: &Row) -> f64 {
    let changes = row.gateway.traffic.read.get("changes").map_or(0.0, |s| s.bytes);
    changes * row.seconds / row.versions.max(1) as f64
}

fn megabytes(bytes: f64) -> String {
    format!("{:.2}", bytes / 1e6)
}

fn table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let mut text = format!("| {} |\n|", heads.join(" | "));
    for n in 0..heads.len() {
        text.push_str(if n == 0 { " --- |" } else { " ---: |" });
    }
    text.push('\n');
    for row in rows {
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}

/// All that a run gave, as tables.
pub fn text(outcome: &Outcome) -> String {
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
        "start: distributors whole after {:.0} ms; {} of {} gateways whole, half after {:.0} ms, nine in ten after {:.0} \
         ms, the last after {:.0} ms; {} of {} followers of everything whole\n",
        start.distributors_ms,
        start.whole,
        start.gateways,
        start.p50_ms,
        start.p90_ms,
        start.last_ms,
        start.everything.1,
        start.everything.0
    );
    text.push_str(&phases(outcome));
    text.push('\n');
    text.push_str(&roles(outcome));
    text.push('\n');
    text.push_str(&causes(outcome));
    if let Some(before) = &outcome.before {
        text.push('\n');
        let row = row(outcome, "changes");
        let rows = vec![
            vec![
                "before: a version is the whole state".into(),
                before.bytes.to_string(),
                format!("{:.1}", before.look_ms),
                format!("{:.1}", before.digest_ms),
                format!("{:.1}", before.contradictions_ms),
            ],
            vec![
                "after: a version is its changes".into(),
                format!("{:.0}", change_bytes(&row)),
                "none".into(),
                format!("{:.4}", before.kept_up_us / 1e3),
                "none".into(),
            ],
        ];
        let heads = ["one change", "bytes to a gateway", "look, ms", "digest, ms", "compare, ms"];
        text.push_str(&table(&heads, &rows));
    }
    if !outcome.real.is_empty() {
        let heads = ["real gateways", "control", "asked", "served", "p50, ms", "p99", "longest"];
        let rows: Vec<Vec<String>> = outcome
            .real
            .iter()
            .map(|seen| {
                let mut cells = vec![seen.phase.clone(), if seen.follows { "on" } else { "off" }.into()];
                cells.extend([seen.asked.to_string(), seen.served.to_string()]);
                cells.extend(seen.ms.iter().map(|ms| format!("{ms:.2}")));
                cells
            })
            .collect();
        let _ = write!(text, "\n{}", table(&heads, &rows));
    }
    if let Some((there, all)) = outcome.real_drain {
        let _ = writeln!(text, "\nafter its drain's bound a server got {there} of {all} requests");
    }
    let (longest, promised) = outcome.contradiction_ms;
    let _ = writeln!(
        text,
        "\n{} proposals accepted; two acted on different versions for {longest:.0} ms at the longest, promised {promised:.0}",
        outcome.accepted
    );
    for told in &outcome.drains {
        let counted = if told.judged { "" } else { ", not judged" };
        let _ = writeln!(
            text,
            "drain in {}: {} of {} followers still gave it work 5 s later{counted}",
            told.phase, told.still, told.asked
        );
    }
    for offence in &outcome.offences {
        let _ = writeln!(text, "broken: {:?}: {}", offence.promise, offence.words);
    }
    let _ = writeln!(text, "{} promises broken", outcome.offences.len());
    text
}

fn phases(outcome: &Outcome) -> String {
    let heads = [
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
        .rows
        .iter()
        .map(|r| {
            let traffic = &r.gateway.traffic;
            let times = |n: usize| {
                if r.versions == 0 {
                    "-".into()
                } else {
                    format!("{:.0}", r.in_force_ms[n])
                }
            };
            vec![
                r.phase.clone(),
                format!("{:.1}", r.seconds),
                r.versions.to_string(),
                times(0),
                times(1),
                times(2),
                r.missing.to_string(),
                match (r.versions, r.ready_ms) {
                    (0, _) => "-".into(),
                    (_, None) => format!("{:.0}", r.settled_ms),
                    (_, Some((half, most))) => {
                        format!("{:.0}; ready after {half:.0} (half), {most:.0} (nine in ten)", r.settled_ms)
                    }
                },
                format!("{:.0}", traffic.all_read().bytes),
                format!("{:.0}", traffic.all_written().bytes),
                format!("{:.0}", r.most_bytes_per_s),
                format!("{:.1}", r.load),
                format!("{:.0}%", r.idle * 100.0),
            ]
        })
        .collect();
    table(&heads, &rows)
}

fn roles(outcome: &Outcome) -> String {
    let heads =
        ["phase", "role", "CPU, % of a core", "RSS, MB", "in B/s", "in msg/s", "out B/s", "out msg/s"];
    let mut rows = Vec::new();
    for r in &outcome.rows {
        let most = format!("a distributor (most: {:.1}%)", r.distributor_cpu_most * 100.0);
        let mut roles: Vec<(String, &Taken)> =
            vec![("a gateway".into(), &r.gateway), (most, &r.distributor), ("the origin".into(), &r.origin)];
        if let Some(everything) = &r.everything {
            roles.push(("a follower of everything".into(), everything));
        }
        for (role, taken) in roles {
            let (read, written): (Sum, Sum) = (taken.traffic.all_read(), taken.traffic.all_written());
            rows.push(vec![
                r.phase.clone(),
                role,
                format!("{:.3}", taken.cpu * 100.0),
                megabytes(taken.rss),
                format!("{:.0}", read.bytes),
                format!("{:.2}", read.messages),
                format!("{:.0}", written.bytes),
                format!("{:.2}", written.messages),
            ]);
        }
        rows.push(vec![
            r.phase.clone(),
            "the run itself, with its links".into(),
            format!("{:.1}", r.run_cpu * 100.0),
        ]);
    }
    rows.iter_mut().for_each(|row| row.resize(heads.len(), "-".into()));
    let mut text = table(&heads, &rows);
    if let Some(r) = outcome.rows.last() {
        let _ = writeln!(
            text,
            "\nstate by its own reckoning: {} MB a gateway, {} MB a follower of everything",
            megabytes(r.gateway_state),
            megabytes(r.everything_state)
        );
    }
    text
}

fn causes(outcome: &Outcome) -> String {
    let heads = ["phase", "cause", "gateway B/s", "msg/s", "distributor B/s", "msg/s", "origin B/s", "msg/s"];
    let mut rows = Vec::new();
    for r in &outcome.rows {
        let of = [&r.gateway.traffic, &r.distributor.traffic, &r.origin.traffic];
        for (way, pick) in [
            ("in", (|t: &Traffic| t.read.clone()) as fn(&Traffic) -> BTreeMap<String, Sum>),
            ("out", |t: &Traffic| t.written.clone()),
        ] {
            let maps: Vec<_> = of.iter().map(|t| pick(t)).collect();
            let mut names: Vec<_> = maps.iter().flat_map(|m| m.keys().cloned()).collect();
            names.sort();
            names.dedup();
            for name in names {
                let mut cells = vec![r.phase.clone(), format!("{way}: {name}")];
                for map in &maps {
                    let sum = map.get(&name).copied().unwrap_or_default();
                    cells.extend([format!("{:.0}", sum.bytes), format!("{:.2}", sum.messages)]);
                }
                rows.push(cells);
            }
        }
    }
    table(&heads, &rows)
}

/// Slopes over runs of several sizes; nothing for one run. `size` is what differs: its name, and how it is read.
pub fn slopes(outcomes: &[Outcome], size: (&str, fn(&Outcome) -> f64)) -> String {
    if outcomes.len() < 2 {
        return String::new();
    }
    let mut heads = vec![size.0.to_string()];
    heads.extend(outcomes.iter().map(|o| format!("{:.0}", (size.1)(o))));
    heads.push("last / first".into());
    let heads: Vec<&str> = heads.iter().map(String::as_str).collect();
    let rows: Vec<Vec<String>> = SLOPES
        .iter()
        .map(|(name, of)| {
            let values: Vec<f64> = outcomes.iter().map(of).collect();
            let mut cells = vec![name.to_string()];
            cells.extend(values.iter().map(|v| format!("{v:.3}")));
            let (first, last) = (values[0], values[values.len() - 1]);
            cells.push(if first > 0.0 { format!("{:.2}", last / first) } else { "-".into() });
            cells
        })
        .collect();
    table(&heads, &rows)
}

type Drawing<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn plot(title: &str, across: &str, points: &[(f64, f64)], wide: bool) -> Result<String, Failure> {
    let mut svg = String::new();
    {
        let root: Drawing =
            SVGBackend::with_string(&mut svg, (if wide { 940 } else { 460 }, 240)).into_drawing_area();
        root.fill(&WHITE)?;
        let most = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(0.0, f64::max).max(1e-9) * 1.08;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 13))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..most(|p| p.0), 0.0..most(|p| p.1))?;
        chart.configure_mesh().light_line_style(WHITE).x_desc(across).draw()?;
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

/// The page.
pub fn html(outcomes: &[Outcome], size: (&str, fn(&Outcome) -> f64)) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>scale</title>\n<style>body{font:15px \
         sans-serif;margin:2em auto;max-width:64em;padding:0 1em}pre{overflow-x:auto;font-size:12px}svg{max-width:100%;\
         height:auto}</style>\n<h1>The scale run</h1>\n",
    );
    if outcomes.len() > 1 {
        page.push_str("<h2>Slopes</h2>\n");
        for (name, of) in SLOPES {
            let points: Vec<_> = outcomes.iter().map(|o| ((size.1)(o), of(o))).collect();
            page.push_str(&plot(name, size.0, &points, false).map_err(|e| e.to_string())?);
        }
        let _ = writeln!(page, "<pre>{}</pre>", escape(&slopes(outcomes, size)));
    }
    for outcome in outcomes {
        let _ = writeln!(
            page,
            "<h2>{} gateways, {} hosts</h2>",
            outcome.plan.size.gateways, outcome.plan.size.hosts
        );
        for row in outcome.rows.iter().filter(|r| !r.in_force.is_empty()) {
            let all: u64 = row.in_force.iter().map(|(_, n)| n).sum();
            let mut sum = 0;
            let points: Vec<_> = row
                .in_force
                .iter()
                .map(|(ms, n)| {
                    sum += n;
                    (*ms, sum as f64 / all.max(1) as f64)
                })
                .collect();
            let title = format!("{}: share of gateways at which a change was in force, by ms", row.phase);
            page.push_str(&plot(&title, "ms since its proposal", &points, true).map_err(|e| e.to_string())?);
        }
        let _ = writeln!(page, "<pre>{}</pre>", escape(&text(outcome)));
    }
    Ok(page)
}
