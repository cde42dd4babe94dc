//! Reads and checks settings files.

use std::fs;
use std::net;
use std::path;

use serde::Serialize;
use serde::de;
use serde_json::Value;

use crate::clock;
use crate::config::check;
use crate::config::decoder;
use crate::config::settings;
use crate::error;
use crate::id;
use crate::peer::frame;

/// The largest settings file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// The exit code of a daemon or tool whose settings are invalid.
pub const BAD_SETTINGS_EXIT_CODE: u8 = 2;

impl settings::Gateway {
    /// Reads and checks a settings file; relative file names in it are relative to its folder.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is invalid; the error names each invalid field, its value
    /// and the remedy.
    pub fn from_file(path: &path::Path) -> error::Result<Self> {
        let mut cfg: Self = read(path, &gateway_sample()?)?;
        let folder = folder_of(path);
        cfg.secret_file = folder.join(&cfg.secret_file);
        let mut faults = check::gateway(&cfg);
        check_secret(&cfg.secret_file, &mut faults);
        into_result(cfg, faults)
    }
}

impl settings::Control {
    /// Reads and checks a settings file; relative paths in it are relative to its folder.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is invalid; the error names each invalid field, its value
    /// and the remedy.
    pub fn from_file(path: &path::Path) -> error::Result<Self> {
        let mut cfg: Self = read(path, &control_sample()?)?;
        let folder = folder_of(path);
        cfg.secret_file = folder.join(&cfg.secret_file);
        cfg.operators_file = folder.join(&cfg.operators_file);
        cfg.data_folder = folder.join(&cfg.data_folder);
        let mut faults = check::control(&cfg);
        check_secret(&cfg.secret_file, &mut faults);
        check_data_folder(&cfg.data_folder, &mut faults);
        if let Err(e) = crate::http::admin::token::Operators::from_file(&cfg.operators_file) {
            faults.push(e);
        }
        into_result(cfg, faults)
    }
}

impl settings::Operator {
    /// Reads and checks the settings file of the operators' tool; a relative `token_file` counts
    /// from its folder.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is invalid; the error names each invalid field, its value
    /// and the remedy.
    pub fn from_file(path: &path::Path) -> error::Result<Self> {
        let mut cfg: Self = read(path, &operator_sample()?)?;
        cfg.token_file = folder_of(path).join(&cfg.token_file);
        let faults = check::operator(&cfg);
        into_result(cfg, faults)
    }
}

/// The settings from a file of any kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settings {
    /// The settings of `buckthorncleat-gateway`.
    Gateway(settings::Gateway),
    /// The settings of `buckthorncleat-control`.
    Control(settings::Control),
    /// The settings of the operators' tool.
    Operator(settings::Operator),
}

impl Settings {
    /// Reads and checks a settings file, whose kind is known by a field that only this kind has.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is of no known kind or is invalid; the error names each
    /// invalid field, its value and the remedy.
    pub fn from_file(path: &path::Path) -> error::Result<Self> {
        let document = read_json(path)?;
        if document.get("caller_address").is_some() {
            settings::Gateway::from_file(path).map(Self::Gateway)
        } else if document.get("admin_address").is_some() {
            settings::Control::from_file(path).map(Self::Control)
        } else if document.get("token_file").is_some() {
            settings::Operator::from_file(path).map(Self::Operator)
        } else {
            let remedy = "give `caller_address` (gateway), `admin_address` (control) or \
                          `token_file` (operator)";
            Err(error::Error::bad_value(
                path.display().to_string(),
                "(unknown kind)",
                remedy,
            ))
        }
    }
}

fn read<T: de::DeserializeOwned>(path: &path::Path, sample: &Value) -> error::Result<T> {
    decoder::decode(&read_json(path)?, sample)
}

fn read_json(path: &path::Path) -> error::Result<Value> {
    let io = |e| error::Error::io(format!("reading settings {}", path.display()), e);
    let size = fs::metadata(path).map_err(io)?.len();
    if size > MAX_FILE_BYTES {
        let remedy = format!("keep settings below {MAX_FILE_BYTES} bytes");
        return Err(error::Error::bad_value(
            path.display().to_string(),
            size,
            remedy,
        ));
    }
    let bytes = fs::read(path).map_err(io)?;
    serde_json::from_slice(&bytes)
        .map_err(|e| error::Error::bad_value(path.display().to_string(), e, "write valid JSON"))
}

/// Returns the settings, or all faults as one error.
fn into_result<T>(cfg: T, faults: Vec<error::Error>) -> error::Result<T> {
    if faults.is_empty() {
        return Ok(cfg);
    }
    Err(error::Error::several(faults))
}

fn folder_of(path: &path::Path) -> &path::Path {
    path.parent().unwrap_or_else(|| path::Path::new(""))
}

fn check_secret(path: &path::Path, faults: &mut Vec<error::Error>) {
    if let Err(e) = frame::Secret::from_file(path) {
        let remedy = "make it with `buckthorncleat secret FILE` and copy it to every instance";
        let field = format!("secret_file ({})", path.display());
        faults.push(error::Error::bad_value(field, e, remedy));
    }
}

fn check_data_folder(path: &path::Path, faults: &mut Vec<error::Error>) {
    if path.exists() && !path.is_dir() {
        let remedy = "give the path of a folder, or one that does not exist yet";
        faults.push(error::Error::bad_value(
            "data_folder",
            path.display(),
            remedy,
        ));
    }
}

/// Encodes a sample: valid settings with all fields, against which a settings file is checked.
fn to_sample<T: Serialize>(sample: &T) -> error::Result<Value> {
    serde_json::to_value(sample)
        .map_err(|e| error::Error::damaged(format!("settings sample ({e})"), "report this fault"))
}

fn gateway_sample() -> error::Result<Value> {
    to_sample(&settings::Gateway {
        instance: "gw-a1".parse()?,
        data_centre: "klang-a".parse()?,
        caller_address: address(7101),
        peer_address: address(7201),
        status_address: address(7301),
        control: vec![control_peer_sample()?],
        secret_file: "run/secret".into(),
        platform_address: Some(address(7901)),
        placement: settings::Placement::default(),
        objective: settings::Objective::default(),
        limits: settings::Limits::default(),
        timing: settings::GatewayTiming::default(),
    })
}

fn control_sample() -> error::Result<Value> {
    to_sample(&settings::Control {
        instance: "ctl-a".parse()?,
        data_centre: "klang-a".parse()?,
        peer_address: address(7001),
        admin_address: address(7011),
        members: vec![control_peer_sample()?],
        data_folder: "run/ctl-a".into(),
        secret_file: "run/secret".into(),
        operators_file: "run/operators".into(),
        joins: false,
        timing: settings::ControlTiming::default(),
    })
}

fn operator_sample() -> error::Result<Value> {
    to_sample(&settings::Operator {
        admin: vec![address(7011)],
        gateways: vec![address(7301)],
        token_file: "run/token".into(),
        timeout_ms: clock::Millis::new(5_000),
    })
}

fn control_peer_sample() -> error::Result<settings::ControlPeer> {
    let instance: id::InstanceId = "ctl-a".parse()?;
    Ok(settings::ControlPeer {
        instance,
        peer_address: address(7001),
    })
}

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port))
}
