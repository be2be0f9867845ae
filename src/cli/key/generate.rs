//! `sapphirecroft key generate`.

use std::path::PathBuf;

use bpaf::{Parser, construct, long};
use serde::Serialize;

use crate::bundle::{PrivateKey, digest_of};
use crate::cli::secret_file::create_secret;
use crate::cli::{CliError, Output};
use crate::prelude::*;

/// Files to create.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generate {
    out: PathBuf,
    token_out: Option<PathBuf>,
    json: bool,
}

/// The public parts.
#[derive(Serialize)]
struct Generated {
    key: KeyId,
    public: PublicKey,
    token_digest: Option<Digest>,
}

pub(super) fn generate() -> impl Parser<Generate> {
    let out = long("out")
        .help("New file for the private key, readable by its owner only")
        .argument::<PathBuf>("FILE");
    let token_out = long("token-out")
        .help("New file for a bearer token")
        .argument::<PathBuf>("FILE")
        .optional();
    let json = long("json").help("Print data as JSON").switch();
    construct!(Generate {
        out,
        token_out,
        json
    })
    .to_options()
    .descr(
        "Generate a key pair, and a bearer token if asked; print the public parts. A root key is \
         generated in the same way and goes into [trust] root_keys of the settings",
    )
    .command("generate")
    .help("Generate a key pair and a bearer token")
}

impl Generate {
    pub(super) fn run(self) -> Result<Output, CliError> {
        let key = PrivateKey::from_seed(create_secret(&self.out)?);
        let token = self.token_out.as_deref().map(create_secret).transpose()?;
        let generated = Generated {
            key: key.id(),
            public: key.public(),
            token_digest: token.map(|token| digest_of(hex::encode(token).as_bytes())),
        };
        Output::data(self.json, &generated, |generated| {
            let mut lines = vec![
                format!("key           {}", generated.key),
                format!("public        {}", generated.public),
            ];
            lines.extend(
                generated
                    .token_digest
                    .map(|digest| format!("token-digest  {digest}")),
            );
            lines.join("\n")
        })
    }
}
