//! Tables of the capacity page in Markdown, by the names of their markers.
use super::limits::{approaches, simulate_tenant, Sizes};
use super::{Capacity, ComputedRow, Figure, Moment, Slope, MISSING};
use std::fmt::Write as _;

/// Formats a number with three significant digits; large numbers as integers with grouped digits.
pub fn format_number(value: f64) -> String {
    let digits = match value.abs() {
        0.0 => return "0".into(),
        v if v < 10.0 => 2 - v.log10().floor().max(-9.0) as i32,
        v if v < 100.0 => 1,
        _ => 0,
    };
    let plain = format!("{value:.*}", digits.max(0) as usize);
    let plain =
        if plain.contains('.') { plain.trim_end_matches('0').trim_end_matches('.').into() } else { plain };
    let (whole, rest) = plain.split_once('.').map_or((plain.as_str(), None), |(w, r)| (w, Some(r)));
    let mut grouped = String::new();
    for (n, digit) in whole.chars().enumerate() {
        if n > 0 && (whole.len() - n).is_multiple_of(3) && digit.is_ascii_digit() && !grouped.ends_with('-') {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    rest.map_or(grouped.clone(), |rest| format!("{grouped}.{rest}"))
}

fn spaced(name: &str) -> String {
    name.replace('_', " ")
}

/// Returns name and text of all tables.
///
/// # Errors
///
/// Fails if the rows cannot be computed or the limits cannot be simulated.
pub fn all_tables(c: &Capacity) -> Result<Vec<(&'static str, String)>, String> {
    let rows = c.compute_rows().map_err(|(_, problem)| problem)?;
    let sizes = Sizes::of(c)?;
    Ok(vec![
        ("sizes", figures_table(&c.size)),
        ("budgets", figures_table(&c.budget)),
        ("assumed", assumptions_table(c)),
        ("needs", needs_table(&rows)),
        ("sums", sums_table(&rows)),
        ("missing", missing_table(&rows)),
        ("limits", limits_table(c, &sizes)),
        ("error", errors_table(c, &sizes)?),
        ("slopes", slopes_table(&c.slope)),
    ])
}

fn figures_table(list: &[Figure]) -> String {
    let mut out = String::from("| what | value | unit | from |\n| --- | ---: | --- | --- |\n");
    for f in list {
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} |",
            spaced(f.name.get_ref()),
            format_number(f.value),
            f.unit,
            f.from
        );
    }
    out
}

fn assumptions_table(c: &Capacity) -> String {
    let mut out = figures_table(&c.assumed);
    let figures = c.figures().unwrap_or_default();
    for d in &c.derived {
        let name = d.name.get_ref();
        let value = figures.get(name.as_str()).copied().unwrap_or_default();
        let times = d.times.iter().map(|n| spaced(n.get_ref()));
        let mut product: Vec<String> =
            (d.factor != 1.0).then(|| format_number(d.factor)).into_iter().collect();
        product.extend(times);
        let over: Vec<String> = d.over.iter().map(|n| spaced(n.get_ref())).collect();
        let mut formula = if product.is_empty() { "1".into() } else { product.join(" x ") };
        if !over.is_empty() {
            let _ = write!(formula, " / {}", over.join(" / "));
        }
        let from = if d.from.is_empty() { formula } else { format!("{formula}: {}", d.from) };
        let _ = writeln!(out, "| {} | {} | {} | {from} |", spaced(name), format_number(value), d.unit);
    }
    out
}

fn moment_name(m: Moment) -> &'static str {
    match m {
        Moment::Ordinary => "ordinary",
        Moment::Worst => "worst",
        Moment::Start => "start",
    }
}

fn percent(share: f64) -> String {
    match 100.0 * share {
        p if p >= 10.0 => format!("{}%", format_number(p.round())),
        p if p >= 0.1 => format!("{p:.1}%"),
        _ => "<0.1%".into(),
    }
}

fn needs_table(rows: &[ComputedRow]) -> String {
    let mut out = String::new();
    let mut roles: Vec<&str> = Vec::new();
    for row in rows {
        if !roles.contains(&row.role.as_str()) {
            roles.push(&row.role);
        }
    }
    for role in roles {
        let _ = write!(
            out,
            "### {role}\n\n| second | need | slope | x | product | budget | share | verdict | carried by |\n\
             | --- | --- | ---: | --- | ---: | ---: | ---: | --- | --- |\n"
        );
        for row in rows.iter().filter(|r| r.role == role) {
            let slope = match (row.slope, row.slope_unit.as_str()) {
                (Some(value), unit) => format!("{} {unit}", format_number(value)),
                (None, "") => String::new(),
                (None, unit) => format!("? {unit}"),
            };
            let product = row.product.map_or("?".into(), |p| format!("{} {}", format_number(p), row.unit));
            let budget = row.budget.map_or(String::new(), format_number);
            let share = row.share.map_or(String::new(), percent);
            let carried =
                if row.mechanism == MISSING { "**missing**".into() } else { format!("`{}`", row.mechanism) };
            let need =
                if row.note.is_empty() { row.need.clone() } else { format!("{} ({})", row.need, row.note) };
            let _ = writeln!(
                out,
                "| {} | {need} | {slope} | {} | {product} | {budget} | {share} | {} | {carried} |",
                moment_name(row.moment),
                row.sizes,
                row.verdict()
            );
        }
        out.push('\n');
    }
    out.truncate(out.trim_end().len());
    out.push('\n');
    out
}

fn sums_table(rows: &[ComputedRow]) -> String {
    let mut out = String::from("| role | second | budget | sum | share | left out, not measured yet |\n");
    out.push_str("| --- | --- | --- | ---: | ---: | --- |\n");
    let mut seen: Vec<(&str, Moment, &str)> = Vec::new();
    for row in rows.iter().filter(|r| r.adds) {
        let Some(budget) = &row.budget_name else { continue };
        let key = (row.role.as_str(), row.moment, budget.as_str());
        if seen.contains(&key) {
            continue;
        }
        seen.push(key);
        let addends: Vec<&ComputedRow> = rows
            .iter()
            .filter(|r| r.adds && (r.role.as_str(), r.moment) == (key.0, key.1))
            .filter(|r| r.budget_name.as_deref() == Some(key.2))
            .collect();
        let sum: f64 = addends.iter().filter_map(|r| r.product).sum();
        let unmeasured: Vec<&str> =
            addends.iter().filter(|r| r.product.is_none()).map(|r| r.need.as_str()).collect();
        let share = row.budget.map_or(String::new(), |b| percent(sum / b));
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} {} | {share} | {} |",
            row.role,
            moment_name(row.moment),
            spaced(budget),
            format_number(sum),
            row.unit,
            unmeasured.join(", ")
        );
    }
    out
}

fn missing_table(rows: &[ComputedRow]) -> String {
    let mut unmet: Vec<&ComputedRow> = rows.iter().filter(|r| r.is_unmet()).collect();
    // Rows furthest over their budget come first, rows without a measurement last in the order of the file.
    let rank = |r: &ComputedRow| r.share.unwrap_or(0.0);
    unmet.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
    let mut out = String::from("| role | second | need | share of the budget | carried by |\n");
    out.push_str("| --- | --- | --- | ---: | --- |\n");
    for r in unmet {
        let share = r.share.map_or_else(|| r.verdict(), percent);
        let by = if r.mechanism == MISSING { "**missing**".into() } else { format!("`{}`", r.mechanism) };
        let _ = writeln!(out, "| {} | {} | {} | {share} | {by} |", r.role, moment_name(r.moment), r.need);
    }
    out
}

fn limits_table(c: &Capacity, sizes: &Sizes) -> String {
    let mut out =
        String::from("| way | bytes a second at a gateway | formula | acted on within | error | verdict |\n");
    out.push_str("| --- | ---: | --- | ---: | --- | --- |\n");
    for w in approaches(&c.limits, sizes) {
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} s | {} | {} |",
            w.name,
            format_number(w.bytes_per_s),
            w.formula,
            format_number(w.late_s),
            w.error,
            w.verdict
        );
    }
    out
}

fn errors_table(c: &Capacity, sizes: &Sizes) -> Result<String, String> {
    let t = &c.limits;
    let mut out = String::from(
        "| quota by the mean tenant's | asks for, by its quota | counted | bound, steadily | got, mean | windows misjudged \
         by more | first window, formula | first window, got | refused |\n\
         | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
    );
    for size in [0.25, 1.0, 10.0, 1000.0] {
        let quota = size * t.quota_by_mean * sizes.mean_requests_per_s();
        for asks in [0.7, 1.0, 2.0, 10.0] {
            let rate = asks * quota;
            let steady = simulate_tenant(t, quota, rate, 400, false, t.seed)?;
            let first: Result<Vec<f64>, String> = (0..50)
                .map(|n| simulate_tenant(t, quota, rate, 1, true, t.seed + n).map(|p| p.mean))
                .collect();
            let first = first?;
            let bound = t.max_steady_throughput(quota).map_or("none".into(), |b| format!("{b:.2}"));
            let formula =
                if asks > 1.0 { format!("{:.2}", t.first_window_throughput(quota, rate)) } else { "".into() };
            let beyond = if asks < 1.0 { String::new() } else { format!("{:.2}%", 100.0 * steady.beyond) };
            let _ = writeln!(
                out,
                "| {} | {} | {} | {bound} | {:.2} | {beyond} | {formula} | {:.2} | {:.1}% |",
                format_number(size),
                format_number(asks),
                percent(t.sampled_share(quota)),
                steady.mean,
                first.iter().sum::<f64>() / first.len() as f64,
                100.0 * steady.refused
            );
        }
    }
    Ok(out)
}

fn slopes_table(list: &[Slope]) -> String {
    let mut out =
        String::from("| slope | what | unit | measured, size: value | grows as | command, commit |\n");
    out.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for s in list {
        let points: Vec<String> =
            s.points.iter().map(|[n, v]| format!("{}: {}", format_number(*n), format_number(*v))).collect();
        let measured = match s.value {
            Some(value) => format_number(value),
            None if points.is_empty() => "not measured yet".into(),
            None => points.join("; "),
        };
        let growth = s
            .growth()
            .map_or(String::new(), |g| format!("{}: n^{:.2}, at the end n^{:.2}", g.word, g.power, g.end));
        let unit = if s.per.is_empty() { s.unit.clone() } else { format!("{} by {}", s.unit, s.per) };
        let what = if s.note.is_empty() { s.what.clone() } else { format!("{} ({})", s.what, s.note) };
        let by = if s.command.is_empty() { String::new() } else { format!("`{}`, {}", s.command, s.commit) };
        let _ = writeln!(
            out,
            "| {} | {what} | {unit} | {measured} | {growth} | {by} |",
            spaced(s.name.get_ref())
        );
    }
    out
}
