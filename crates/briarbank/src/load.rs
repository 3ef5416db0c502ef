//! Load runs and comparison of their results.

use std::fs::File;
use std::io::{Read, Write};
use std::path::Path;

use briarbank_standin::{Comparison, LoadPlan, LoadResult, Progress};

use crate::Error;
use crate::run::runtime;

const RESULT_LIMIT_BYTES: u64 = 16 << 20;

/// Runs a load plan and prints the result; progress goes to `progress`.
///
/// # Errors
///
/// An invalid plan, counters that can't be read, or output that can't be written.
pub fn load(
    plan: &Path,
    json: bool,
    out: &mut dyn Write,
    progress: &mut (dyn Write + Send),
) -> Result<(), Error> {
    let plan: LoadPlan = briarbank_config::load(plan)?;
    let print_progress = |so_far: Progress| {
        // A closed progress output does not stop the load.
        let _ = writeln!(progress, "{so_far}");
    };
    let result = runtime()?.block_on(briarbank_standin::run_load(plan, print_progress))?;
    if json {
        serde_json::to_writer_pretty(&mut *out, &result).map_err(std::io::Error::from)?;
        writeln!(out)?;
    } else {
        writeln!(out, "{result}")?;
    }
    Ok(())
}

/// Prints two results, read from JSON files, side by side.
///
/// # Errors
///
/// Files that can't be read or hold no result.
pub fn compare(before: &Path, after: &Path, out: &mut dyn Write) -> Result<(), Error> {
    let comparison = Comparison {
        before: &read_result(before)?,
        after: &read_result(after)?,
    };
    write!(out, "{comparison}")?;
    Ok(())
}

fn read_result(path: &Path) -> Result<LoadResult, Error> {
    let mut bytes = Vec::new();
    File::open(path)
        .and_then(|file| file.take(RESULT_LIMIT_BYTES).read_to_end(&mut bytes))
        .map_err(|e| Error::ResultRead(path.to_path_buf(), e))?;
    serde_json::from_slice(&bytes).map_err(|e| Error::ResultJson(path.to_path_buf(), e))
}
