//! Verdict on one promise.

use std::fmt;

/// How often a promise was checked and broken.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Promise {
    /// Number and short text of the promise.
    pub name: String,
    /// Cases that were checked.
    pub checked: u64,
    /// Cases in which the promise was broken.
    pub broken: u64,
    /// The first broken case.
    pub example: Option<String>,
}

impl Promise {
    /// Starts with nothing checked.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_string(),
            checked: 0,
            broken: 0,
            example: None,
        }
    }

    /// Counts one case; `describe` explains it if the promise was broken.
    pub fn check(&mut self, kept: bool, describe: impl FnOnce() -> String) {
        self.checked += 1;
        if kept {
            return;
        }
        self.broken += 1;
        self.example.get_or_insert_with(describe);
    }

    /// Tells whether the promise was checked at least once and never broken.
    pub fn is_kept(&self) -> bool {
        self.checked > 0 && self.broken == 0
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_kept() { "kept" } else { "BROKEN" };
        write!(
            f,
            "{:<52} {:>8} {:>7}  {verdict}",
            self.name, self.checked, self.broken
        )?;
        if let Some(example) = &self.example {
            write!(f, "\n    {example}")?;
        }
        Ok(())
    }
}
