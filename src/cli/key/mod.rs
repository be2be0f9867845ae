//! `sapphirecroft key`: key pairs, tokens and the key ring.

mod enrol;
mod generate;
mod list;
mod revoke;
mod ring;
mod rotate;

use bpaf::{Parser, construct};

use super::{CliError, Output};

/// A verb on keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerb {
    /// Generates a key pair and a token.
    Generate(generate::Generate),
    /// Adds an operator or changes roles and teams.
    Enrol(enrol::Enrol),
    /// Replaces the keys of an operator.
    Rotate(rotate::Rotate),
    /// Ends keys of an operator.
    Revoke(revoke::Revoke),
    /// Lists operators and keys.
    List(list::List),
}

pub(super) fn key() -> impl Parser<KeyVerb> {
    let generate = generate::generate().map(KeyVerb::Generate);
    let enrol = enrol::enrol().map(KeyVerb::Enrol);
    let rotate = rotate::rotate().map(KeyVerb::Rotate);
    let revoke = revoke::revoke().map(KeyVerb::Revoke);
    let list = list::list().map(KeyVerb::List);
    construct!([generate, enrol, rotate, revoke, list])
        .to_options()
        .descr("Manage operators, their keys and tokens; a root key signs every change")
        .command("key")
        .help("Manage operators, their keys and tokens")
}

impl KeyVerb {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        match self {
            Self::Generate(verb) => verb.run(),
            Self::Enrol(verb) => verb.run().await,
            Self::Rotate(verb) => verb.run().await,
            Self::Revoke(verb) => verb.run().await,
            Self::List(verb) => verb.run().await,
        }
    }
}
