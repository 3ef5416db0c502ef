//! Readable tables of JSON.

use std::collections::BTreeSet;
use std::fmt::Write;

use serde_json::{Map, Value};

const NOTHING: &str = "-";
const COLUMN_GAP: &str = "  ";

/// Renders a JSON value: scalars as a list, arrays of objects as tables, the rest as sections.
///
/// ```
/// let value = serde_json::json!({"host": "recife-1", "queues": [{"profile": "slips", "waiting": 2}]});
/// let text = briarbank::render_tables(&value);
/// assert!(text.contains("slips"));
/// ```
#[must_use]
pub fn render_tables(value: &Value) -> String {
    let mut text = String::new();
    section("", value, &mut text);
    text
}

fn section(title: &str, value: &Value, text: &mut String) {
    match value {
        Value::Object(fields) => object(title, fields, text),
        Value::Array(elements) if elements.iter().any(Value::is_object) => {
            heading(title, text);
            lines(&table(elements), text);
        }
        scalar => {
            heading(title, text);
            let _ = writeln!(text, "{}", cell(scalar));
        }
    }
}

fn object(title: &str, fields: &Map<String, Value>, text: &mut String) {
    let (sections, scalars): (Vec<_>, Vec<_>) = fields.iter().partition(|(_, v)| is_section(v));
    if !scalars.is_empty() {
        heading(title, text);
        let rows: Vec<_> = scalars
            .iter()
            .map(|(name, value)| vec![printable(name), cell(value)])
            .collect();
        lines(&rows, text);
    }
    for (name, value) in sections {
        let name = printable(name);
        let below = if title.is_empty() {
            name
        } else {
            format!("{title}.{name}")
        };
        section(&below, value, text);
    }
}

fn is_section(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(elements) => elements.iter().any(Value::is_object),
        _ => false,
    }
}

fn heading(title: &str, text: &mut String) {
    if title.is_empty() {
        return;
    }
    if !text.is_empty() {
        text.push('\n');
    }
    let _ = writeln!(text, "[{title}]");
}

/// One row for each element below a row of column names.
fn table(elements: &[Value]) -> Vec<Vec<String>> {
    let columns: BTreeSet<&String> = elements
        .iter()
        .filter_map(Value::as_object)
        .flat_map(Map::keys)
        .collect();
    // A column called `name` comes first, since it tells the rows apart.
    let (names, others): (Vec<_>, Vec<_>) = columns.into_iter().partition(|c| *c == "name");
    let columns: Vec<_> = names.into_iter().chain(others).collect();
    let head = columns.iter().map(|c| printable(c)).collect();
    let rows = elements.iter().map(|element| {
        let value = |column: &&String| element.get(column.as_str()).map_or_else(String::new, cell);
        columns.iter().map(value).collect()
    });
    std::iter::once(head).chain(rows).collect()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::from(NOTHING),
        Value::Array(elements) if elements.is_empty() => String::from(NOTHING),
        Value::Object(fields) if fields.is_empty() => String::from(NOTHING),
        Value::String(text) => printable(text),
        Value::Array(elements) => elements.iter().map(cell).collect::<Vec<_>>().join(", "),
        other => printable(&other.to_string()),
    }
}

/// Keeps control characters of a peer's text away from the terminal.
fn printable(text: &str) -> String {
    text.chars()
        .map(|c| {
            if c.is_control() {
                char::REPLACEMENT_CHARACTER
            } else {
                c
            }
        })
        .collect()
}

/// Writes rows with aligned columns.
pub(crate) fn lines(rows: &[Vec<String>], text: &mut String) {
    let count = rows.iter().map(Vec::len).max().unwrap_or_default();
    let widths: Vec<_> = (0..count)
        .map(|column| {
            let cells = rows.iter().filter_map(|r| r.get(column));
            cells.map(|c| c.chars().count()).max().unwrap_or_default()
        })
        .collect();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let padded: Vec<_> = cells.map(|(c, width)| format!("{c:width$}")).collect();
        let _ = writeln!(text, "{}", padded.join(COLUMN_GAP).trim_end());
    }
}
