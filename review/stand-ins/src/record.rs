//! What a case writes down: one line for each thing that clients, servers or the platform saw.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of a case. Each line begins with the seconds since the start.
#[derive(Clone, Debug)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, or replaces the one of an earlier run.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer panicked");
        writeln!(file, "{:8.3} {text}", self.now()).expect("the record can be written");
    }
}
