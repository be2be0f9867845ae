//! `sapphirecroft audit verify`.

use bpaf::{Parser, construct, long};

use crate::cli::api::{Api, api};
use crate::cli::{CliError, Exit, Output};
use crate::prelude::*;
use crate::schema::config::{AuditEntry, AuditFault, AuditReport};

/// How to verify the trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verify {
    api: Api,
    known: Option<Known>,
}

/// A position and hash that the operator noted earlier.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Known {
    seq: u64,
    hash: Digest,
}

pub(super) fn verify() -> impl Parser<Verify> {
    let api = api();
    let seq = long("seq")
        .help("Position that was noted earlier")
        .argument::<u64>("SEQ");
    let hash = long("hash")
        .help("Hash that was noted with it; shows a trail that was written anew")
        .argument::<Digest>("SHA256");
    let known = construct!(Known { seq, hash }).optional();
    construct!(Verify { api, known })
        .to_options()
        .descr("Check every hash and number of the trail; ends with code 1 if anything is wrong")
        .command("verify")
        .help("Check every hash and number of the trail")
}

impl Verify {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let mut report: AuditReport = self.api.get("/audit/verify").await?;
        if let Some(known) = &self.known {
            let entry: AuditEntry = self.api.get(&format!("/audit/{}", known.seq)).await?;
            if entry.hash != known.hash {
                report.faults.push(AuditFault {
                    seq: known.seq,
                    message: "entry has another hash than the one noted".to_string(),
                });
            }
        }
        let exit = if report.faults.is_empty() {
            Exit::Done
        } else {
            Exit::Refused
        };
        let output = Output::data(self.api.json, &report, describe)?;
        Ok(output.with_exit(exit))
    }
}

fn describe(report: &AuditReport) -> String {
    let mut lines = vec![format!(
        "entries {} to {}, newest hash {}",
        report.first, report.last, report.head
    )];
    let list = |faults: &[AuditFault], name: &str| -> Vec<String> {
        faults
            .iter()
            .map(|fault| format!("{name} at {}: {}", fault.seq, fault.message))
            .collect()
    };
    lines.extend(list(&report.faults, "fault"));
    lines.extend(list(&report.open, "open attempt"));
    if report.faults.is_empty() {
        lines.push("trail holds".to_string());
    }
    lines.join("\n")
}
