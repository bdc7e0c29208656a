//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// `Record` writes lines to a file and to standard output.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file at `path`.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3}  {text}\n", self.now());
        print!("{line}");
        let mut file = self.file.lock().expect("record lock");
        file.write_all(line.as_bytes()).expect("record is writable");
    }
}
