//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    faults: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
            faults: Mutex::default(),
        })
    }

    /// Returns the milliseconds since the case began.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3}  {}", line.as_ref());
    }

    /// Adds a broken rule.
    pub fn fault(&self, line: impl AsRef<str>) {
        self.note(format!("BROKEN {}", line.as_ref()));
        self.faults.lock().unwrap().push(line.as_ref().to_string());
    }

    /// Returns the broken rules.
    pub fn faults(&self) -> Vec<String> {
        self.faults.lock().unwrap().clone()
    }
}
