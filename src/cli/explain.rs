//! `sapphirecroft explain`: prints from logs what became of one job, and why.

use std::fs;
use std::io::Read;
use std::path::PathBuf;

use bpaf::{Parser, construct, positional};

use super::{CliError, Exit, Output};
use crate::explain::{LogLine, Story};
use crate::prelude::*;

/// A job and the logs to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explain {
    job: JobId,
    files: Vec<PathBuf>,
}

pub(super) fn explain() -> impl Parser<Explain> {
    let job = positional::<JobId>("ID").help("Id of the job");
    let files = positional::<PathBuf>("FILE")
        .help("Logs of daemons; - or none reads standard input")
        .many();
    construct!(Explain { job, files })
        .to_options()
        .descr(
            "Print the lines of one job from the logs of several daemons, the decisive one marked",
        )
        .command("explain")
        .help("Explain from logs what became of a job")
}

impl Explain {
    pub(super) fn run(self) -> Result<Output, CliError> {
        let mut lines = Vec::new();
        let files = if self.files.is_empty() {
            vec![PathBuf::from("-")]
        } else {
            self.files
        };
        for file in files {
            let mut bytes = Vec::new();
            if file.as_os_str() == "-" {
                let read = std::io::stdin().read_to_end(&mut bytes);
                read.map_err(|err| CliError::bad_input(format!("standard input: {err}")))?;
            } else {
                bytes = fs::read(&file)
                    .map_err(|err| CliError::bad_input(format!("{}: {err}", file.display())))?;
            }
            let source = file.file_stem().unwrap_or_default().to_string_lossy();
            let text = String::from_utf8_lossy(&bytes);
            // A log may hold lines of other programs; they cannot be of a job.
            lines.extend(
                text.lines()
                    .filter_map(|line| LogLine::parse(&source, line)),
            );
        }
        let story = Story::new(self.job.as_str(), lines);
        let mut output = Output::done(story.to_string());
        if story.is_empty() {
            output.exit = Exit::Refused;
        }
        Ok(output)
    }
}
