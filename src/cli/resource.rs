//! Commands on accounts, keys, models, servers, routes, the quarantine, evacuations and control
//! members.

use hyper::Method;
use serde_json::json;

use crate::cli::args;
use crate::cli::failure;
use crate::cli::local;
use crate::cli::output;
use crate::cli::session;
use crate::http::admin::member;
use crate::http::admin::target;
use crate::http::admin::wire;
use crate::id;
use crate::state::model;
use crate::state::subject;

/// The most attempts to mark a server as leaving; each retry follows a conflict with another
/// change.
const MAX_LEAVE_ATTEMPTS: usize = 8;

/// Runs a command on client accounts.
///
/// # Errors
///
/// Fails if the request is refused or gets no answer.
pub async fn account(
    cx: &session::Session,
    command: args::Account,
) -> failure::Result<output::Output> {
    let kind = subject::Kind::Account;
    match command {
        args::Account::List => list_accounts(cx).await,
        args::Account::Put {
            id,
            rate,
            burst,
            priority,
            weight,
        } => {
            let account = model::ClientAccount {
                id,
                rate,
                burst,
                priority,
                weight,
            };
            revision_output(cx.put(kind, account.id.as_str(), &account).await?)
        }
        args::Account::Remove { id } => revision_output(cx.remove(kind, id.as_str()).await?),
    }
}

/// Runs a command on keys.
///
/// # Errors
///
/// Fails if the request is refused or gets no answer.
pub async fn key(cx: &session::Session, command: args::Key) -> failure::Result<output::Output> {
    let kind = subject::Kind::Key;
    match command {
        args::Key::List => list_keys(cx).await,
        args::Key::Withdraw { id } => revision_output(cx.remove(kind, id.as_str()).await?),
        args::Key::Grant {
            account,
            id,
            secret_file,
        } => {
            let secret = match &secret_file {
                Some(file) => local::key_secret_from_file(file)?,
                None => local::random_key_secret(),
            };
            let key = model::Key {
                id,
                account,
                hash: model::KeyHash::from_secret(secret.as_bytes()),
            };
            let revision = cx.put(kind, key.id.as_str(), &key).await?;
            key_output(&key, &secret, secret_file.is_some(), revision)
        }
    }
}

/// Runs a command on models.
///
/// # Errors
///
/// Fails if the request is refused or gets no answer.
pub async fn model(cx: &session::Session, command: args::Model) -> failure::Result<output::Output> {
    let kind = subject::Kind::Model;
    match command {
        args::Model::List => list_models(cx).await,
        args::Model::Put {
            id,
            first_token_ms,
            between_tokens_ms,
            max_output,
            kv_bytes_per_token,
        } => {
            let model = model::Model {
                id,
                first_token: first_token_ms,
                between_tokens: between_tokens_ms,
                max_output,
                kv_bytes_per_token,
            };
            revision_output(cx.put(kind, model.id.as_str(), &model).await?)
        }
        args::Model::Remove { id } => revision_output(cx.remove(kind, id.as_str()).await?),
    }
}

/// Runs a command on backend servers.
///
/// # Errors
///
/// Fails if the request is refused or gets no answer.
pub async fn server(
    cx: &session::Session,
    command: args::Server,
) -> failure::Result<output::Output> {
    let kind = subject::Kind::Server;
    match command {
        args::Server::List => list_servers(cx).await,
        args::Server::Put(put) => {
            let server = server_from_args(*put);
            revision_output(cx.put(kind, server.id.as_str(), &server).await?)
        }
        args::Server::Leave { id } => revision_output(leave(cx, &id).await?),
        args::Server::Remove { id } => revision_output(cx.remove(kind, id.as_str()).await?),
    }
}

/// Runs a command on routes.
///
/// # Errors
///
/// Fails if the request is refused or gets no answer.
pub async fn route(cx: &session::Session, command: args::Route) -> failure::Result<output::Output> {
    let kind = subject::Kind::Route;
    match command {
        args::Route::List => list_routes(cx).await,
        args::Route::Put(put) => {
            let route = route_from_args(*put);
            revision_output(cx.put(kind, route.id.as_str(), &route).await?)
        }
        args::Route::Remove { id } => revision_output(cx.remove(kind, id.as_str()).await?),
    }
}

/// Runs a command on quarantined requests.
///
/// # Errors
///
/// Fails if the request is refused or gets no answer.
pub async fn quarantine(
    cx: &session::Session,
    command: args::Quarantine,
) -> failure::Result<output::Output> {
    let kind = subject::Kind::Quarantine;
    match command {
        args::Quarantine::List => {
            let all: wire::Listing<wire::Quarantined> = list(cx, kind).await?;
            let mut table = output::Table::new(&["fingerprint", "since revision"]);
            for item in &all.items {
                table.push(&[&item.fingerprint, &item.since]);
            }
            Ok(output::Output::new(table.to_string(), &all)?)
        }
        args::Quarantine::Put { fingerprint } => {
            let path = session::item_path(kind, &fingerprint.to_string());
            let write = cx.change(hyper::Method::PUT, path, Vec::new(), None);
            revision_output(cx.client.write(&write).await?)
        }
        args::Quarantine::Release { fingerprint } => {
            revision_output(cx.remove(kind, &fingerprint.to_string()).await?)
        }
    }
}

/// Runs a command on evacuations of data centres.
///
/// # Errors
///
/// Fails if the request is refused or gets no answer.
pub async fn evacuation(
    cx: &session::Session,
    command: args::Evacuation,
) -> failure::Result<output::Output> {
    let (method, data_centre) = match command {
        args::Evacuation::List => return list_evacuations(cx).await,
        args::Evacuation::Start { data_centre } => (Method::PUT, data_centre),
        args::Evacuation::Finish { data_centre } => (Method::DELETE, data_centre),
    };
    let path = format!("{}/{data_centre}", target::EVACUATIONS_PATH);
    let write = cx.change(method, path, Vec::new(), None);
    revision_output(cx.client.write(&write).await?)
}

async fn list_evacuations(cx: &session::Session) -> failure::Result<output::Output> {
    let all: wire::Evacuations = cx.client.read(target::EVACUATIONS_PATH).await?;
    let mut table = output::Table::new(&["evacuated data centre"]);
    for data_centre in &all.items {
        table.push(&[data_centre]);
    }
    let behind: Vec<&str> = all.behind.iter().map(|r| r.as_str()).collect();
    let in_force = match behind.as_slice() {
        [] => format!("in force at all {} routers that report", all.routers),
        behind => format!(
            "not in force yet at {} of {} routers: {}",
            behind.len(),
            all.routers,
            behind.join(" ")
        ),
    };
    let text = format!("{table}\nrevision {}, {in_force}", all.revision);
    Ok(output::Output::new(text, &all)?)
}

/// Returns the output of a change: the revision that it created.
///
/// # Errors
///
/// Never fails, as a revision can be encoded as JSON.
pub fn revision_output(revision: id::Revision) -> failure::Result<output::Output> {
    let text = format!("revision {revision}");
    Ok(output::Output::new(text, &wire::Written { revision })?)
}

async fn list<T: serde::de::DeserializeOwned>(
    cx: &session::Session,
    kind: subject::Kind,
) -> failure::Result<wire::Listing<T>> {
    cx.client.read(target::collection_path(kind)).await
}

fn key_output(
    key: &model::Key,
    secret: &str,
    in_file: bool,
    revision: id::Revision,
) -> failure::Result<output::Output> {
    let shown = if in_file { "(in the file)" } else { secret };
    let text = format!("key {} revision {revision}\nsecret {shown}", key.id);
    let value = json!({ "id": key.id, "revision": revision, "secret": shown });
    Ok(output::Output::new(text, &value)?)
}

/// Reads a server and replaces it with its state set to leaving.
///
/// Tries again if another change came between, unless the operator gave the expected revision.
async fn leave(cx: &session::Session, id: &id::BackendServerId) -> failure::Result<id::Revision> {
    let path = session::item_path(subject::Kind::Server, id.as_str());
    let mut attempts = 1;
    loop {
        let read: wire::Single<model::BackendServer> = cx.client.read(&path).await?;
        let expected_revision = cx.expected_revision().unwrap_or(read.revision);
        let mut server = read.item;
        server.state = model::ServerState::Leaving;
        let body = session::to_body(&server)?;
        let mut write = cx.change(
            hyper::Method::PUT,
            path.clone(),
            body,
            Some(expected_revision),
        );
        if attempts > 1 {
            write.operation = session::random_operation()?;
        }
        match cx.client.write(&write).await {
            Err(e)
                if e.is_conflict()
                    && cx.expected_revision().is_none()
                    && attempts < MAX_LEAVE_ATTEMPTS =>
            {
                attempts += 1;
            }
            outcome => return outcome,
        }
    }
}

fn server_from_args(put: args::ServerPut) -> model::BackendServer {
    model::BackendServer {
        id: put.id,
        address: put.address,
        data_centre: put.data_centre,
        role: put.role,
        models: put.models,
        routes: put.routes,
        state: put.state,
        slots: put.slots,
        memory: put.memory,
        link: put.link,
        checks_fencing: put.checks_fencing,
    }
}

fn route_from_args(put: args::RoutePut) -> model::Route {
    let access = if put.open {
        model::Access::Open
    } else {
        model::Access::Keyed
    };
    model::Route {
        id: put.id,
        prefix: put.prefix,
        access,
        idempotent_methods: put.idempotent_methods,
        require_idempotency_key: put.require_idempotency_key,
        deadline: put.deadline_ms,
        cost: put.cost,
    }
}

async fn list_accounts(cx: &session::Session) -> failure::Result<output::Output> {
    let all: wire::Listing<model::ClientAccount> = list(cx, subject::Kind::Account).await?;
    let mut table = output::Table::new(&["account", "rate", "burst", "priority", "weight"]);
    for a in &all.items {
        table.push(&[&a.id, &a.rate, &a.burst, &a.priority, &a.weight]);
    }
    Ok(output::Output::new(table.to_string(), &all)?)
}

async fn list_keys(cx: &session::Session) -> failure::Result<output::Output> {
    let all: wire::Listing<model::Key> = list(cx, subject::Kind::Key).await?;
    let mut table = output::Table::new(&["key", "account"]);
    for k in &all.items {
        table.push(&[&k.id, &k.account]);
    }
    Ok(output::Output::new(table.to_string(), &all)?)
}

async fn list_models(cx: &session::Session) -> failure::Result<output::Output> {
    let all: wire::Listing<model::Model> = list(cx, subject::Kind::Model).await?;
    let header = ["model", "first token", "between tokens", "max output"];
    let mut table = output::Table::new(&header);
    for m in &all.items {
        table.push(&[&m.id, &m.first_token, &m.between_tokens, &m.max_output]);
    }
    Ok(output::Output::new(table.to_string(), &all)?)
}

async fn list_servers(cx: &session::Session) -> failure::Result<output::Output> {
    let all: wire::Listing<model::BackendServer> = list(cx, subject::Kind::Server).await?;
    let header = ["server", "address", "data centre", "role", "state", "slots"];
    let mut table = output::Table::new(&header);
    for s in &all.items {
        table.push(&[
            &s.id,
            &s.address,
            &s.data_centre,
            &s.role,
            &s.state,
            &s.slots,
        ]);
    }
    Ok(output::Output::new(table.to_string(), &all)?)
}

async fn list_routes(cx: &session::Session) -> failure::Result<output::Output> {
    let all: wire::Listing<model::Route> = list(cx, subject::Kind::Route).await?;
    let mut table = output::Table::new(&["route", "prefix", "access", "deadline", "cost"]);
    for r in &all.items {
        let access = match r.access {
            model::Access::Open => "open",
            model::Access::Keyed => "keyed",
        };
        table.push(&[&r.id, &r.prefix, &access, &r.deadline, &r.cost]);
    }
    Ok(output::Output::new(table.to_string(), &all)?)
}

/// Admits or dismisses a member of the control group.
///
/// # Errors
///
/// Fails if the change is refused or no leader answers.
pub async fn control(
    cx: &session::Session,
    command: args::Control,
) -> failure::Result<output::Output> {
    let (method, instance, body, result) = match command {
        args::Control::Admit {
            instance,
            peer_address,
        } => {
            let body = session::to_body(&member::Admission { peer_address })?;
            (
                Method::PUT,
                instance,
                body,
                "catches up with the log, then votes",
            )
        }
        args::Control::Dismiss { instance } => (Method::DELETE, instance, Vec::new(), "is removed"),
    };
    let path = format!("/v1/control-members/{instance}");
    let write = cx.change(method, path, body, None);
    cx.client.write(&write).await?;
    let text = format!("{instance} {result}");
    Ok(output::Output::new(text, &instance)?)
}
