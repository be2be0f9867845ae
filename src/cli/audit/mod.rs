//! `sapphirecroft audit`: the trail of changes.

mod list;
mod show;
mod verify;

use bpaf::{Parser, construct};

use super::{CliError, Output};
use crate::schema::config::AuditEntry;

/// A verb on the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditVerb {
    /// Lists entries.
    List(list::List),
    /// Shows one entry.
    Show(show::Show),
    /// Verifies the whole trail.
    Verify(verify::Verify),
}

pub(super) fn audit() -> impl Parser<AuditVerb> {
    let list = list::list().map(AuditVerb::List);
    let show = show::show().map(AuditVerb::Show);
    let verify = verify::verify().map(AuditVerb::Verify);
    construct!([list, show, verify])
        .to_options()
        .descr("Read and verify the trail of changes")
        .command("audit")
        .help("Read and verify the trail of changes")
}

impl AuditVerb {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        match self {
            Self::List(verb) => verb.run().await,
            Self::Show(verb) => verb.run().await,
            Self::Verify(verb) => verb.run().await,
        }
    }
}

fn describe(entry: &AuditEntry) -> String {
    let version = entry
        .version
        .map_or_else(String::new, |version| format!(" (version {version})"));
    format!(
        "{} at {}: {} {} {}{version}: {}  {}",
        entry.seq, entry.at, entry.who, entry.action, entry.subject, entry.outcome, entry.detail
    )
    .trim_end()
    .to_string()
}
