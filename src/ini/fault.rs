//! A fault in an INI file and where it is.

use std::fmt;

/// One fault with its place in the file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// Line number, starting at one; zero if the fault has no line, as with a missing section.
    pub line: usize,
    /// Section, as written between the brackets.
    pub section: String,
    /// Key, or empty if the fault concerns the whole section.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if self.section.is_empty() {
            return f.write_str(&self.message);
        }
        write!(f, "[{}]", self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// All faults of a file, in the order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl From<Fault> for crate::schema::config::PlacedFault {
    fn from(fault: Fault) -> Self {
        Self {
            line: fault.line as u64,
            section: fault.section,
            key: fault.key,
            message: fault.message,
        }
    }
}
