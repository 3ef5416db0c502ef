//! Comparison of two results.

use std::fmt;

use super::result::{ClassResult, LoadResult};

/// Comparison of two results, printed as a table.
#[derive(Clone, Copy, Debug)]
pub struct Comparison<'r> {
    /// The earlier result.
    pub before: &'r LoadResult,
    /// The later result.
    pub after: &'r LoadResult,
}

/// A compared figure of a class.
struct Figure {
    name: &'static str,
    value: fn(&ClassResult) -> f64,
}

const FIGURES: [Figure; 10] = [
    Figure {
        name: "offered",
        value: |c| c.offered as f64,
    },
    Figure {
        name: "attainment %",
        value: |c| c.attainment_ratio * 100.0,
    },
    Figure {
        name: "goodput /s",
        value: |c| c.goodput_per_s,
    },
    Figure {
        name: "not-run",
        value: |c| c.refused_not_run as f64,
    },
    Figure {
        name: "unknown",
        value: |c| c.refused_unknown as f64,
    },
    Figure {
        name: "wrong",
        value: |c| c.wrong as f64,
    },
    Figure {
        name: "wasted tokens",
        value: |c| c.wasted_tokens as f64,
    },
    Figure {
        name: "first token p95 ms",
        value: |c| c.first_token.p95_us as f64 / 1_000.0,
    },
    Figure {
        name: "whole p50 ms",
        value: |c| c.whole.p50_us as f64 / 1_000.0,
    },
    Figure {
        name: "whole p99 ms",
        value: |c| c.whole.p99_us as f64 / 1_000.0,
    },
];

impl fmt::Display for Comparison<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14} {:<20} {:>12} {:>12} {:>12}",
            "class", "figure", "before", "after", "change"
        )?;
        for after in &self.after.classes {
            let before = self.before.classes.iter().find(|c| c.name == after.name);
            match before {
                Some(before) => write_class(f, before, after)?,
                None => writeln!(f, "{:<14} not in the earlier result", after.name)?,
            }
        }
        let seeds = (self.before.seed, self.after.seed);
        if seeds.0 != seeds.1 {
            writeln!(f, "seeds differ: {} and {}", seeds.0, seeds.1)?;
        }
        Ok(())
    }
}

fn write_class(
    f: &mut fmt::Formatter<'_>,
    before: &ClassResult,
    after: &ClassResult,
) -> fmt::Result {
    for Figure { name, value } in FIGURES {
        let (old, new) = (value(before), value(after));
        let change = if old == 0.0 {
            "-".to_owned()
        } else {
            format!("{:+.1}%", (new - old) / old * 100.0)
        };
        let class = &after.name;
        writeln!(
            f,
            "{class:<14} {name:<20} {old:>12.2} {new:>12.2} {change:>12}"
        )?;
    }
    Ok(())
}
