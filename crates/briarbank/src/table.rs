//! JSON as plain-text tables.

use std::collections::BTreeSet;
use std::fmt::Write;

use serde_json::{Map, Value};

const EMPTY_CELL: &str = "-";
const COLUMN_GAP: &str = "  ";

/// Renders a JSON value as plain-text tables.
///
/// Scalar fields become a list, arrays of objects become tables and nested
/// objects become sections.
///
/// ```
/// let value = serde_json::json!({"host": "recife-1", "queues": [{"profile": "slips", "waiting": 2}]});
/// let text = briarbank::render_tables(&value);
/// assert!(text.contains("slips"));
/// ```
#[must_use]
pub fn render_tables(value: &Value) -> String {
    let mut text = String::new();
    write_section("", value, &mut text);
    text
}

fn write_section(title: &str, value: &Value, text: &mut String) {
    match value {
        Value::Object(fields) => write_object(title, fields, text),
        Value::Array(elements) if elements.iter().any(Value::is_object) => {
            write_heading(title, text);
            write_rows(&table_rows(elements), text);
        }
        scalar => {
            write_heading(title, text);
            let _ = writeln!(text, "{}", cell(scalar));
        }
    }
}

fn write_object(title: &str, fields: &Map<String, Value>, text: &mut String) {
    let (sections, scalars): (Vec<_>, Vec<_>) = fields.iter().partition(|(_, v)| is_section(v));
    if !scalars.is_empty() {
        write_heading(title, text);
        let rows: Vec<_> = scalars
            .iter()
            .map(|(name, value)| vec![replace_control_chars(name), cell(value)])
            .collect();
        write_rows(&rows, text);
    }
    for (name, value) in sections {
        let name = replace_control_chars(name);
        let path = if title.is_empty() {
            name
        } else {
            format!("{title}.{name}")
        };
        write_section(&path, value, text);
    }
}

fn is_section(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(elements) => elements.iter().any(Value::is_object),
        _ => false,
    }
}

fn write_heading(title: &str, text: &mut String) {
    if title.is_empty() {
        return;
    }
    if !text.is_empty() {
        text.push('\n');
    }
    let _ = writeln!(text, "[{title}]");
}

/// Returns a header row and one row per element.
fn table_rows(elements: &[Value]) -> Vec<Vec<String>> {
    let columns: BTreeSet<&String> = elements
        .iter()
        .filter_map(Value::as_object)
        .flat_map(Map::keys)
        .collect();
    // The column `name` comes first, since it identifies the row.
    let (names, others): (Vec<_>, Vec<_>) = columns.into_iter().partition(|c| *c == "name");
    let columns: Vec<_> = names.into_iter().chain(others).collect();
    let header = columns.iter().map(|c| replace_control_chars(c)).collect();
    let rows = elements.iter().map(|element| {
        let value = |column: &&String| element.get(column.as_str()).map_or_else(String::new, cell);
        columns.iter().map(value).collect()
    });
    std::iter::once(header).chain(rows).collect()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::from(EMPTY_CELL),
        Value::Array(elements) if elements.is_empty() => String::from(EMPTY_CELL),
        Value::Object(fields) if fields.is_empty() => String::from(EMPTY_CELL),
        Value::String(text) => replace_control_chars(text),
        Value::Array(elements) => elements.iter().map(cell).collect::<Vec<_>>().join(", "),
        other => replace_control_chars(&other.to_string()),
    }
}

/// Replaces control characters, so that a peer's text can't control the terminal.
fn replace_control_chars(text: &str) -> String {
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
pub(crate) fn write_rows(rows: &[Vec<String>], text: &mut String) {
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
