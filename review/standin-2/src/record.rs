//! The record of a case: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Creates the record at `path`; times count from now.
pub fn open(path: &Path) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Adds a line.
pub fn line(text: &str) {
    let Some((started, file)) = RECORD.get() else {
        return;
    };
    let seconds = started.elapsed().as_secs_f64();
    if let Ok(mut file) = file.lock() {
        // A record that cannot be written does not change the result.
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}

/// Adds a line and prints it.
pub fn note(text: &str) {
    println!("{text}");
    line(text);
}
