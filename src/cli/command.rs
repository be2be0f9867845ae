//! The verbs of the program.

use bpaf::{OptionParser, Parser, construct};

use super::audit::{AuditVerb, audit};
use super::bench::{Bench, bench};
use super::bundle::{BundleVerb, bundle};
use super::check::{Check, check};
use super::dev::{Dev, dev};
use super::drain::{Drain, drain};
use super::entry::{Entry, entry};
use super::explain::{Explain, explain};
use super::job::{JobVerb, job};
use super::key::{KeyVerb, key};
use super::serve::{Serve, serve};
use super::view::{View, view};
use super::{CliError, Output};

/// What the program is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Runs the daemon.
    Serve(Serve),
    /// Runs the daemon on the users' platform.
    Entry(Entry),
    /// Runs a development site.
    Dev(Dev),
    /// Checks files.
    Check(Check),
    /// Changes the bundle.
    Bundle(BundleVerb),
    /// Manages keys.
    Key(KeyVerb),
    /// Reads the audit trail.
    Audit(AuditVerb),
    /// Submits and shows batch jobs.
    Job(JobVerb),
    /// Shows the state of an entry process.
    View(View),
    /// Takes workers and zones out of use.
    Drain(Drain),
    /// Explains from logs what became of a job.
    Explain(Explain),
    /// Measures policies and costs.
    Bench(Bench),
}

/// Options of the whole program.
pub fn options() -> OptionParser<Command> {
    let serve = serve().map(Command::Serve);
    let entry = entry().map(Command::Entry);
    let dev = dev().map(Command::Dev);
    let check = check().map(Command::Check);
    let bundle = bundle().map(Command::Bundle);
    let key = key().map(Command::Key);
    let audit = audit().map(Command::Audit);
    let job = job().map(Command::Job);
    let view = view().map(Command::View);
    let drain = drain().map(Command::Drain);
    let explain = explain().map(Command::Explain);
    let bench = bench().map(Command::Bench);
    construct!([
        serve, entry, dev, check, bundle, key, audit, job, view, drain, explain, bench
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Scheduler for colocated latency-critical and batch work")
    .footer(
        "Exit codes: 0 carried out, 1 refused or conflict, 2 wrong usage or bad input, \
             3 not reachable or outcome unknown",
    )
}

impl Command {
    /// Carries out the command.
    pub async fn run(self) -> Result<Output, CliError> {
        match self {
            Self::Serve(verb) => verb.run().await,
            Self::Entry(verb) => verb.run().await,
            Self::Dev(verb) => verb.run().await,
            Self::Check(verb) => verb.run(),
            Self::Bundle(verb) => verb.run().await,
            Self::Key(verb) => verb.run().await,
            Self::Audit(verb) => verb.run().await,
            Self::Job(verb) => verb.run().await,
            Self::View(verb) => verb.run().await,
            Self::Drain(verb) => verb.run().await,
            Self::Explain(verb) => verb.run(),
            Self::Bench(verb) => verb.run().await,
        }
    }
}
