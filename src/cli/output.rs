//! What a verb prints.

use std::io::Write;

use serde::Serialize;

use super::{CliError, Exit};

/// Text for standard output and the exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Text without the final line end.
    pub text: String,
    /// Exit code.
    pub exit: Exit,
}

impl Output {
    /// Text of a verb that was carried out.
    pub fn done(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            exit: Exit::Done,
        }
    }

    /// Data as JSON or, if `json` is not set, as the text that `human` makes of it.
    pub fn data<T: Serialize>(
        json: bool,
        data: &T,
        human: impl FnOnce(&T) -> String,
    ) -> Result<Self, CliError> {
        if !json {
            return Ok(Self::done(human(data)));
        }
        serde_json::to_string_pretty(data)
            .map(Self::done)
            .map_err(|err| CliError::bad_input(err.to_string()))
    }

    /// Sets the exit code.
    pub fn with_exit(self, exit: Exit) -> Self {
        Self { exit, ..self }
    }

    /// Writes the text to standard output; a closed pipe is not an error.
    pub fn print(&self) {
        if !self.text.is_empty() {
            let _ = writeln!(std::io::stdout(), "{}", self.text);
        }
    }
}
