//! Reads and checks a settings file.

use std::fs;
use std::path::Path;

use crate::ini::{Document, Fault, Faults, SchemaCheck};
use crate::schema::settings::Settings;

/// Schema of the settings file.
const SCHEMA: &str = include_str!("../../schema/settings.json");

/// Reads a settings file and reports every fault.
pub fn load_settings(path: &Path) -> Result<Settings, Faults> {
    let text = fs::read_to_string(path).map_err(|err| {
        Faults(vec![Fault {
            line: 0,
            section: path.display().to_string(),
            key: String::new(),
            message: err.to_string(),
        }])
    })?;
    parse_settings(&text)
}

/// Checks the text of a settings file and reports every fault.
pub fn parse_settings(text: &str) -> Result<Settings, Faults> {
    let (doc, mut faults) = Document::parse_lossy(text);
    match SchemaCheck::new(SCHEMA, "Settings").check(&doc) {
        Ok(settings) if faults.is_empty() => Ok(settings),
        Ok(_) => Err(Faults(faults)),
        Err(found) => {
            faults.extend(found.0);
            faults.sort();
            Err(Faults(faults))
        }
    }
}
