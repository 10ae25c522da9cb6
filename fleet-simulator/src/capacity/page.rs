//! The page on which the tables stand between markers: `<!-- capacity NAME -->` and `<!-- end NAME -->`.
use super::tables;
use super::Capacity;

/// The page with every block as worked out. Errs where a marker is missing.
pub fn with_tables(page: &str, capacity: &Capacity) -> Result<String, String> {
    let mut page = page.to_string();
    for (name, text) in tables::all(capacity)? {
        let (begin, end) = (format!("<!-- capacity {name} -->\n"), format!("<!-- end {name} -->"));
        let from = page.find(&begin).ok_or_else(|| format!("expected a line {}", begin.trim_end()))?;
        let from = from + begin.len();
        let to = page[from..].find(&end).ok_or_else(|| format!("expected a line {end}"))?;
        page.replace_range(from..from + to, &format!("\n{text}\n"));
    }
    Ok(page)
}

/// The first line, by its number, in which a page is not as worked out.
pub fn first_difference(page: &str, wanted: &str) -> Option<(usize, String)> {
    let mut wanted = wanted.lines();
    for (n, line) in page.lines().enumerate() {
        match wanted.next() {
            Some(want) if want == line => {}
            other => return Some((n + 1, other.unwrap_or("nothing").to_string())),
        }
    }
    wanted.next().map(|want| (page.lines().count() + 1, want.to_string()))
}
