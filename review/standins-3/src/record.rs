//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the run.
#[derive(Debug)]
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file.
    ///
    /// # Panics
    ///
    /// The file cannot be created.
    #[must_use]
    pub fn create(path: &Path) -> Self {
        Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path).expect("creating the record failed")),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let ms = self.started_at.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7.3} {text}", ms as f64 / 1_000.0);
    }
}
