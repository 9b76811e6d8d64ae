//! What was sent, answered and run: lines of `record.txt`, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Result<Self, String> {
        let path = folder.join("record.txt");
        let file = File::create(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// Into the record and to the caller.
    pub fn tell(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{:8.3} {}", self.start.elapsed().as_secs_f64(), text.as_ref());
    }
}
