//! What was sent, answered and run, as lines with the time since the start.

use std::fs::File;
use std::io::Write as _;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case.
pub struct Record {
    began: Instant,
    file: Mutex<Option<File>>,
}

impl Record {
    /// An empty one in this file.
    pub fn begin(path: &str) -> Self {
        Self { began: Instant::now(), file: Mutex::new(File::create(path).ok()) }
    }

    /// Adds a line, now.
    pub fn line(&self, text: &str) {
        self.line_at(tokio::time::Instant::now(), text);
    }

    /// Adds a line about something that happened at this time.
    pub fn line_at(&self, at: tokio::time::Instant, text: &str) {
        let seconds = at.into_std().saturating_duration_since(self.began).as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            if let Some(file) = file.as_mut() {
                let _ = writeln!(file, "{seconds:8.3} s  {text}");
            }
        }
    }
}
