//! Parses the rows of a sheet.

use std::net;
use std::str;

use crate::config::sheet;
use crate::config::sheet::cells;
use crate::config::sheet::time;
use crate::error;
use crate::state::change;
use crate::state::model;
use crate::state::subject;

/// One row: an item to create or replace, and the time of day from which it is in effect.
#[derive(Clone, Debug)]
pub struct Row {
    /// The line number in the file, counted from 1.
    pub line: u64,
    /// The time of day from which the row is in effect; `None` if from the start of the day.
    pub from: Option<time::TimeOfDay>,
    /// The change that creates or replaces the item.
    pub put: change::Change,
    /// Whether the cell `state` is empty, so that an existing server keeps its state.
    pub keeps_state: bool,
}

// Cell types that wrap a type whose own `FromStr`, if any, gives no remedy.

struct Address(net::SocketAddr);

struct Access(model::Access);

struct Text(String);

impl Row {
    /// Parses a row; returns `None` after adding its faults to `faults`.
    pub fn from_cells(cells: cells::Reader<'_>, faults: &mut sheet::Faults) -> Option<Self> {
        let from = cells.optional("from", faults);
        let put = match cells.text("kind") {
            "account" => account(cells, faults).map(change::Change::PutAccount),
            "model" => model(cells, faults).map(change::Change::PutModel),
            "server" => server(cells, faults).map(change::Change::PutServer),
            "route" => route(cells, faults).map(change::Change::PutRoute),
            kind => {
                let remedy = "use `account`, `model`, `server` or `route`";
                faults.push(cells.line, "kind", kind, remedy);
                None
            }
        };
        Some(Self {
            line: cells.line,
            from: from?,
            put: put?,
            keeps_state: cells.text("state").is_empty(),
        })
    }

    /// Returns the item that the row is for.
    pub fn subject(&self) -> subject::Subject {
        subject::Subject::from_change(&self.put)
    }

    /// Returns the kind and name of the item, such as `account chefs`.
    pub fn title(&self) -> String {
        let subject = self.subject();
        format!("{} {}", subject.kind, subject.name)
    }
}

fn account(cells: cells::Reader<'_>, faults: &mut sheet::Faults) -> Option<model::ClientAccount> {
    cells.allow_only(&["rate", "burst", "priority", "weight"], faults);
    let id = cells.required("name", faults);
    let rate = cells.required("rate", faults);
    let burst = cells.required("burst", faults);
    let priority = cells.optional("priority", faults);
    let weight: Option<Option<Count>> = cells.optional("weight", faults);
    Some(model::ClientAccount {
        id: id?,
        rate: rate?,
        burst: burst?,
        priority: priority?.unwrap_or_default(),
        weight: weight?.map_or(1, |w| w.0),
    })
}

fn model(cells: cells::Reader<'_>, faults: &mut sheet::Faults) -> Option<model::Model> {
    let columns = [
        "first_token_ms",
        "between_tokens_ms",
        "max_output",
        "kv_bytes_per_token",
    ];
    cells.allow_only(&columns, faults);
    let id = cells.required("name", faults);
    let first_token = cells.required("first_token_ms", faults);
    let between_tokens = cells.required("between_tokens_ms", faults);
    let max_output = cells.required("max_output", faults);
    let kv_bytes_per_token = cells.required("kv_bytes_per_token", faults);
    Some(model::Model {
        id: id?,
        first_token: first_token?,
        between_tokens: between_tokens?,
        max_output: max_output?,
        kv_bytes_per_token: kv_bytes_per_token?,
    })
}

fn server(cells: cells::Reader<'_>, faults: &mut sheet::Faults) -> Option<model::BackendServer> {
    let columns = [
        "address",
        "data_centre",
        "role",
        "models",
        "routes",
        "state",
        "slots",
        "memory",
        "link",
        "checks_fencing",
    ];
    cells.allow_only(&columns, faults);
    let id = cells.required("name", faults);
    let address: Option<Address> = cells.required("address", faults);
    let data_centre = cells.required("data_centre", faults);
    let role = cells.required("role", faults);
    let models = cells.list("models", faults);
    let routes = cells.list("routes", faults);
    let state = cells.optional("state", faults);
    let slots: Option<Count> = cells.required("slots", faults);
    let memory = cells.optional("memory", faults);
    let link = cells.optional("link", faults);
    let checks_fencing = cells.yes_or_no("checks_fencing", faults);
    Some(model::BackendServer {
        id: id?,
        address: address?.0,
        data_centre: data_centre?,
        role: role?,
        models: models?,
        routes: routes?,
        state: state?.unwrap_or(model::ServerState::InService),
        slots: slots?.0,
        memory: memory?.unwrap_or_default(),
        link: link?.unwrap_or_default(),
        checks_fencing: checks_fencing?,
    })
}

fn route(cells: cells::Reader<'_>, faults: &mut sheet::Faults) -> Option<model::Route> {
    let columns = [
        "prefix",
        "access",
        "idempotent_methods",
        "require_idempotency_key",
        "deadline_ms",
        "cost",
    ];
    cells.allow_only(&columns, faults);
    let id = cells.required("name", faults);
    let prefix: Option<Text> = cells.required("prefix", faults);
    let access: Option<Access> = cells.required("access", faults);
    let methods: Option<Vec<Text>> = cells.list("idempotent_methods", faults);
    let require_idempotency_key = cells.yes_or_no("require_idempotency_key", faults);
    let deadline = cells.required("deadline_ms", faults);
    let cost = cells.optional("cost", faults);
    Some(model::Route {
        id: id?,
        prefix: prefix?.0,
        access: access?.0,
        idempotent_methods: methods?.into_iter().map(|m| m.0).collect(),
        require_idempotency_key: require_idempotency_key?,
        deadline: deadline?,
        cost: cost?.unwrap_or_default(),
    })
}

/// A whole number such as a weight or a number of slots.
struct Count(u32);

impl str::FromStr for Count {
    type Err = error::Error;

    fn from_str(s: &str) -> error::Result<Self> {
        s.parse()
            .map(Self)
            .map_err(|_| error::Error::bad_value("number", s, "use a whole number"))
    }
}

impl str::FromStr for Address {
    type Err = error::Error;

    fn from_str(s: &str) -> error::Result<Self> {
        s.parse()
            .map(Self)
            .map_err(|_| error::Error::bad_value("address", s, "use IP:PORT"))
    }
}

impl str::FromStr for Access {
    type Err = error::Error;

    fn from_str(s: &str) -> error::Result<Self> {
        match s {
            "open" => Ok(Self(model::Access::Open)),
            "keyed" => Ok(Self(model::Access::Keyed)),
            _ => Err(error::Error::bad_value(
                "access",
                s,
                "use `open` or `keyed`",
            )),
        }
    }
}

impl str::FromStr for Text {
    type Err = error::Error;

    fn from_str(s: &str) -> error::Result<Self> {
        Ok(Self(s.to_owned()))
    }
}
