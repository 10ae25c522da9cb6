//! Tables on a Markdown page, between the markers `<!-- capacity NAME -->` and `<!-- end NAME -->`.
use super::tables;
use super::Capacity;

/// Returns the page with all tables updated.
///
/// # Errors
///
/// Fails if a marker is missing or the tables cannot be computed.
pub fn with_tables(page: &str, capacity: &Capacity) -> Result<String, String> {
    let mut page = page.to_string();
    for (name, text) in tables::all_tables(capacity)? {
        let (begin, end) = (format!("<!-- capacity {name} -->\n"), format!("<!-- end {name} -->"));
        let from = page.find(&begin).ok_or_else(|| format!("expected a line {}", begin.trim_end()))?;
        let from = from + begin.len();
        let to = page[from..].find(&end).ok_or_else(|| format!("expected a line {end}"))?;
        page.replace_range(from..from + to, &format!("\n{text}\n"));
    }
    Ok(page)
}

/// Returns the number and the expected text of the first line that differs from the expected page.
pub fn first_difference(page: &str, expected: &str) -> Option<(usize, String)> {
    let mut expected = expected.lines();
    for (n, line) in page.lines().enumerate() {
        match expected.next() {
            Some(expected_line) if expected_line == line => {}
            other => return Some((n + 1, other.unwrap_or("nothing").to_string())),
        }
    }
    expected.next().map(|expected_line| (page.lines().count() + 1, expected_line.to_string()))
}
