//! `sapphirecroft check`: reports every fault of settings and bundle files.

use std::fs;
use std::path::{Path, PathBuf};

use bpaf::{Parser, construct, long, positional};
use serde::Serialize;

use super::{CliError, Exit, Output};
use crate::bundle::check_bundle;
use crate::ini::{Fault, Faults};
use crate::settings::parse_settings;

/// Kind of the files to check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Settings,
    Bundle,
}

/// Files to check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    kind: Kind,
    json: bool,
    files: Vec<PathBuf>,
}

/// What was found in one file.
#[derive(Serialize)]
struct Report {
    file: String,
    faults: Vec<Fault>,
    notes: Vec<Fault>,
}

pub(super) fn check() -> impl Parser<Check> {
    let settings = kind(Kind::Settings, "settings", "Check settings of a process");
    let bundle = kind(Kind::Bundle, "bundle", "Check configuration bundles");
    construct!([settings, bundle])
        .to_options()
        .descr("Check files and report every fault with its section, key and line")
        .command("check")
        .help("Check settings or bundle files")
}

fn kind(kind: Kind, name: &'static str, help: &'static str) -> impl Parser<Check> {
    let json = long("json").help("Print the result as JSON").switch();
    let files = positional::<PathBuf>("FILE")
        .help("File to check")
        .some("name at least one file");
    construct!(json, files)
        .map(move |(json, files)| Check { kind, json, files })
        .to_options()
        .descr(help)
        .command(name)
        .help(help)
}

impl Check {
    pub(super) fn run(self) -> Result<Output, CliError> {
        let reports: Vec<Report> = self.files.iter().map(|file| self.report(file)).collect();
        let faulty = reports.iter().any(|report| !report.faults.is_empty());
        let exit = if faulty { Exit::BadInput } else { Exit::Done };
        let output = Output::data(self.json, &reports, |reports| human(reports))?;
        Ok(output.with_exit(exit))
    }

    fn report(&self, file: &Path) -> Report {
        let checked = fs::read_to_string(file)
            .map_err(|err| unreadable(&err))
            .and_then(|text| match self.kind {
                Kind::Settings => parse_settings(&text).map(|_| Vec::new()),
                Kind::Bundle => check_bundle(&text).map(|checked| checked.notes),
            });
        let (faults, notes) = match checked {
            Ok(notes) => (Vec::new(), notes),
            Err(faults) => (faults.0, Vec::new()),
        };
        Report {
            file: file.display().to_string(),
            faults,
            notes,
        }
    }
}

fn unreadable(err: &std::io::Error) -> Faults {
    Faults(vec![Fault {
        line: 0,
        section: String::new(),
        key: String::new(),
        message: format!("file cannot be read: {err}"),
    }])
}

fn human(reports: &[Report]) -> String {
    let mut lines = Vec::new();
    for report in reports {
        let file = &report.file;
        lines.extend(report.faults.iter().map(|fault| format!("{file}: {fault}")));
        lines.extend(
            report
                .notes
                .iter()
                .map(|note| format!("{file}: note: {note}")),
        );
        if report.faults.is_empty() {
            lines.push(format!("{file}: valid"));
        }
    }
    lines.join("\n")
}
