//! Display of a load's result as a table.

use std::fmt;

use super::result::{ClassResult, LoadResult, Quantiles};

/// Names and widths of the columns.
const COLUMNS: [(&str, usize); 13] = [
    ("class", 14),
    ("offered", 8),
    ("attained", 9),
    ("good/s", 8),
    ("not-run", 8),
    ("unknown", 8),
    ("wrong", 6),
    ("repeats", 8),
    ("wasted", 7),
    ("gap s", 6),
    ("first token ms", 20),
    ("between ms", 17),
    ("whole ms", 22),
];

impl fmt::Display for LoadResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_row(f, &COLUMNS.map(|(name, _)| name.to_owned()))?;
        for class in &self.classes {
            write_row(f, &class_cells(class))?;
        }
        write!(f, "times as p50/p95/p99; wasted as part of received tokens")?;
        let Some(audit) = &self.audit else {
            return Ok(());
        };
        write!(
            f,
            "\nservers: {} tokens generated, {} wasted; {} service runs, {} doubled, {} not-run \
             that ran, {} completed that never ran",
            audit.generated_tokens,
            audit.wasted_tokens,
            audit.service_runs,
            audit.duplicate_runs,
            audit.false_not_run,
            audit.completed_without_run
        )
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, cells: &[String; COLUMNS.len()]) -> fmt::Result {
    for (index, (cell, (_, width))) in cells.iter().zip(COLUMNS).enumerate() {
        if index == 0 {
            write!(f, "{cell:<width$}")?;
        } else {
            write!(f, " {cell:>width$}")?;
        }
    }
    writeln!(f)
}

fn class_cells(class: &ClassResult) -> [String; COLUMNS.len()] {
    let wasted = class.wasted_tokens as f64 / class.tokens.max(1) as f64;
    [
        class.name.to_string(),
        class.offered.to_string(),
        format_percent(class.attainment_ratio),
        format!("{:.1}", class.goodput_per_s),
        class.refused_not_run.to_string(),
        class.refused_unknown.to_string(),
        class.wrong.to_string(),
        class.retries.to_string(),
        format_percent(wasted),
        format!("{:.1}", class.longest_gap_ms as f64 / 1_000.0),
        format_quantiles(class.first_token),
        format_quantiles(class.between_tokens),
        format_quantiles(class.whole),
    ]
}

fn format_percent(ratio: f64) -> String {
    format!("{:.2}%", ratio * 100.0)
}

fn format_quantiles(quantiles: Quantiles) -> String {
    if quantiles.count == 0 {
        return "-".to_owned();
    }
    let Quantiles {
        p50_us,
        p95_us,
        p99_us,
        ..
    } = quantiles;
    let [p50, p95, p99] = [p50_us, p95_us, p99_us].map(format_millis);
    format!("{p50}/{p95}/{p99}")
}

/// Formats milliseconds with about three significant digits.
fn format_millis(time_us: u64) -> String {
    let millis = time_us as f64 / 1_000.0;
    if millis < 10.0 {
        format!("{millis:.2}")
    } else if millis < 100.0 {
        format!("{millis:.1}")
    } else {
        format!("{millis:.0}")
    }
}
