//! Sections, keys and values of an INI file with their lines.

use ini_core::{Item, Parser};

use super::{Fault, Faults};

/// Lines and names from hostile files are cut to this length in messages.
const MAX_QUOTED_CHARS: usize = 80;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Section, as written between the brackets.
    pub section: String,
    /// Key without surrounding spaces.
    pub key: String,
    /// Value without surrounding spaces.
    pub value: String,
    /// Line number, starting at one.
    pub line: usize,
}

/// An INI file as a list of sections and entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// Sections with the line of their header.
    pub sections: Vec<(String, usize)>,
    /// Entries in the order of the file.
    pub entries: Vec<Entry>,
}

impl Document {
    /// Parses a file; reports every syntax fault and every repeated section or key.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let (doc, faults) = Self::parse_lossy(text);
        if faults.is_empty() {
            Ok(doc)
        } else {
            Err(Faults(faults))
        }
    }

    /// Parses what can be parsed, so that further checks can run next to the syntax faults.
    pub fn parse_lossy(text: &str) -> (Self, Vec<Fault>) {
        let mut doc = Self::default();
        let mut faults = Vec::new();
        let mut section = String::new();
        for (index, line_text) in text.lines().enumerate() {
            let line = index + 1;
            let mut items = Parser::new(line_text.trim()).comment_char(b';');
            // The first item of every line is the end of the previous section.
            let item = items.find(|item| !matches!(item, Item::SectionEnd));
            let fault = |key: &str, message: &str| Fault {
                line,
                section: section.clone(),
                key: shorten(key),
                message: message.to_string(),
            };
            match item {
                None | Some(Item::Blank | Item::Comment(_) | Item::SectionEnd) => {}
                Some(Item::Section(name)) => {
                    section = name.trim().to_string();
                    if doc.sections.iter().any(|(known, _)| *known == section) {
                        faults.push(Fault {
                            line,
                            section: section.clone(),
                            key: String::new(),
                            message: "section is repeated".to_string(),
                        });
                    }
                    doc.sections.push((section.clone(), line));
                }
                Some(Item::Property(key, Some(value))) => {
                    let (key, value) = (key.trim(), value.trim());
                    if section.is_empty() {
                        faults.push(fault(key, "key stands before the first section"));
                    }
                    if doc.find(&section, key).is_some() {
                        faults.push(fault(key, "key is repeated"));
                    }
                    doc.entries.push(Entry {
                        section: section.clone(),
                        key: key.to_string(),
                        value: value.to_string(),
                        line,
                    });
                }
                Some(Item::Property(key, None)) => faults.push(fault(key, "line has no \"=\"")),
                Some(Item::Error(text)) => {
                    faults.push(fault(text, "section header has no closing bracket"));
                }
            }
        }
        (doc, faults)
    }

    /// Finds a key in a section.
    pub fn find(&self, section: &str, key: &str) -> Option<&Entry> {
        self.entries
            .iter()
            .find(|entry| entry.section == section && entry.key == key)
    }

    /// Returns the line of a section's header, or zero.
    pub fn section_line(&self, section: &str) -> usize {
        self.sections
            .iter()
            .find(|(name, _)| name == section)
            .map_or(0, |(_, line)| *line)
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}
