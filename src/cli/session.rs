//! The settings and the client of one run of the operators' tool.

use std::env;
use std::fs;
use std::net;
use std::path;

use hyper::Method;
use serde::Serialize;

use crate::cli::args;
use crate::cli::client;
use crate::cli::failure;
use crate::config::settings;
use crate::error;
use crate::http::admin::target;
use crate::id;
use crate::state::subject;

const OPERATOR_ENV: &str = "BUCKTHORNCLEAT_OPERATOR";
const ADMIN_ENV: &str = "BUCKTHORNCLEAT_ADMIN";
const GATEWAYS_ENV: &str = "BUCKTHORNCLEAT_GATEWAYS";
const TOKEN_FILE_ENV: &str = "BUCKTHORNCLEAT_TOKEN_FILE";

/// The client of one run of the tool, with the name and expected revision of its changes.
#[derive(Debug)]
pub struct Session {
    pub client: client::Client,
    operation: id::OperationId,
    expected_revision: Option<id::Revision>,
}

impl Session {
    /// Makes a session from the command line, the environment and the settings file, of which the
    /// earlier take precedence.
    ///
    /// # Errors
    ///
    /// Fails if a setting is missing or invalid, or a file can't be read.
    pub fn new(args: &args::Connection) -> error::Result<Self> {
        let cfg = resolve_settings(args)?;
        let token = read_token(&cfg.token_file)?;
        let operation = match &args.operation {
            Some(operation) => operation.clone(),
            None => random_operation()?,
        };
        Ok(Self {
            client: client::Client::new(cfg, token),
            operation,
            expected_revision: args.expected_revision,
        })
    }

    /// Returns the revision given with `--expected`.
    pub fn expected_revision(&self) -> Option<id::Revision> {
        self.expected_revision
    }

    /// Creates or replaces an item of the configuration.
    ///
    /// # Errors
    ///
    /// Fails as [`client::Client::write`] does.
    pub async fn put<T: Serialize>(
        &self,
        kind: subject::Kind,
        name: &str,
        item: &T,
    ) -> failure::Result<id::Revision> {
        let body = to_body(item)?;
        let path = item_path(kind, name);
        let write = self.change(Method::PUT, path, body, self.expected_revision);
        self.client.write(&write).await
    }

    /// Removes an item from the configuration.
    ///
    /// # Errors
    ///
    /// Fails as [`client::Client::write`] does.
    pub async fn remove(&self, kind: subject::Kind, name: &str) -> failure::Result<id::Revision> {
        let path = item_path(kind, name);
        let write = self.change(Method::DELETE, path, Vec::new(), self.expected_revision);
        self.client.write(&write).await
    }

    /// Makes a change request under the name given with `--operation`, or a random one.
    pub fn change(
        &self,
        method: Method,
        path: String,
        body: Vec<u8>,
        expected_revision: Option<id::Revision>,
    ) -> client::Write {
        client::Write {
            method,
            path,
            body,
            operation: self.operation.clone(),
            expected_revision,
        }
    }
}

/// Encodes the body of a change as JSON.
///
/// # Errors
///
/// Fails if it can't be encoded, which is a fault in the program.
pub fn to_body<T: Serialize>(item: &T) -> error::Result<Vec<u8>> {
    serde_json::to_vec(item)
        .map_err(|e| error::Error::damaged(format!("request body ({e})"), "report this fault"))
}

/// Returns the path of an item on the admin interface.
pub fn item_path(kind: subject::Kind, name: &str) -> String {
    format!("{}/{name}", target::collection_path(kind))
}

/// Returns a new random name for a request.
///
/// # Errors
///
/// Never fails, as the name is valid.
pub fn random_operation() -> error::Result<id::OperationId> {
    format!("op-{:032x}", rand::random::<u128>()).parse()
}

/// Returns the settings from the command line, the environment and the settings file, of which the
/// earlier take precedence.
///
/// # Errors
///
/// Fails if the settings file can't be read or is invalid, an address is invalid, or there is no
/// admin address.
pub fn resolve_settings(args: &args::Connection) -> error::Result<settings::Operator> {
    let file = args.operator.clone().or_else(|| env_path(OPERATOR_ENV));
    let mut cfg = match file {
        Some(file) => settings::Operator::from_file(&file)?,
        None => settings::Operator {
            admin: Vec::new(),
            gateways: Vec::new(),
            token_file: path::PathBuf::new(),
            timeout_ms: settings::default_timeout(),
        },
    };
    override_list(&mut cfg.admin, &args.admin, ADMIN_ENV)?;
    override_list(&mut cfg.gateways, &args.gateways, GATEWAYS_ENV)?;
    if let Some(file) = args.token_file.clone().or_else(|| env_path(TOKEN_FILE_ENV)) {
        cfg.token_file = file;
    }
    cfg.timeout_ms = args.timeout_ms.unwrap_or(cfg.timeout_ms);
    if cfg.admin.is_empty() {
        let remedy = format!("give --admin, --operator, {ADMIN_ENV} or {OPERATOR_ENV}");
        return Err(error::Error::bad_value("admin", "(missing)", remedy));
    }
    Ok(cfg)
}

/// Replaces `list` by the addresses given, or else by those in the environment variable `name`.
fn override_list(
    list: &mut Vec<net::SocketAddr>,
    given: &[net::SocketAddr],
    name: &str,
) -> error::Result<()> {
    if !given.is_empty() {
        *list = given.to_vec();
    } else if let Ok(text) = env::var(name) {
        *list = parse_addresses(name, &text)?;
    }
    Ok(())
}

fn parse_addresses(name: &str, text: &str) -> error::Result<Vec<net::SocketAddr>> {
    let parse = |word: &str| {
        let remedy = "use IP:PORT, separated by commas";
        let address = word.trim().parse();
        address.map_err(|_| error::Error::bad_value(name, word, remedy))
    };
    text.split(',').map(parse).collect()
}

fn env_path(name: &str) -> Option<path::PathBuf> {
    env::var_os(name).map(path::PathBuf::from)
}

fn read_token(file: &path::Path) -> error::Result<String> {
    if file.as_os_str().is_empty() {
        let remedy = format!("give --token-file, --operator or {TOKEN_FILE_ENV}");
        return Err(error::Error::bad_value("token_file", "(missing)", remedy));
    }
    let text = fs::read_to_string(file)
        .map_err(|e| error::Error::io(format!("reading token_file {}", file.display()), e))?;
    match text.split_whitespace().last() {
        Some(token) => Ok(token.to_owned()),
        None => {
            let remedy = "write the operator's token into this file";
            Err(error::Error::bad_value("token_file", "(empty)", remedy))
        }
    }
}
