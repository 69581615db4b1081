//! The record of a case: what was sent, answered and run, with the seconds since its start.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to `record.txt` and to standard output.
#[derive(Clone, Debug)]
pub struct Recorder {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Recorder {
    /// Creates the file in `dir`.
    pub fn create(dir: &Path) -> io::Result<Recorder> {
        let file = Arc::new(Mutex::new(File::create(dir.join("record.txt"))?));
        Ok(Recorder { file, begun: Instant::now() })
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Writes a line to the file.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = writeln!(file, "{:8.3} {text}", self.seconds());
    }

    /// Writes a line to the file and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.seconds());
        self.line(text);
    }
}
