//! Operations of tests on a running deployment: reach, restart and replace processes, and change
//! the configuration and the membership of the control group.

use std::fs;
use std::net;

use buckthorncleat::http::admin::wire;
use buckthorncleat::http::admin::write;
use buckthorncleat::state::change;
use buckthorncleat::state::model;
use tokio::time;

use crate::client;
use crate::load::cluster;
use crate::process;

/// One process of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Which {
    /// A gateway, by its index.
    Gateway(usize),
    /// A control member, by its index.
    Control(usize),
    /// A backend server, by its index over all roles, in the order prefill, decode, plain.
    Server(usize),
}

impl cluster::Cluster {
    pub fn child(&mut self, which: Which) -> &mut process::Child {
        match which {
            Which::Gateway(i) => &mut self.gateways[i].child,
            Which::Control(i) => &mut self.control[i],
            Which::Server(i) => &mut self.servers[i].child,
        }
    }

    /// Returns the address of a process: of a gateway the one for callers, of a control member the
    /// one for operators, of a backend server the one for gateways.
    pub fn address(&self, which: Which) -> net::SocketAddr {
        match which {
            Which::Gateway(i) => self.gateways[i].address,
            Which::Control(i) => self.admin[i],
            Which::Server(i) => self.servers[i].address,
        }
    }

    /// Returns the address at which a gateway serves its status.
    pub fn status_address(&self, gateway: usize) -> net::SocketAddr {
        self.gateways[gateway].status
    }

    /// Returns the indices of the backend servers of a role.
    pub fn servers_of(&self, role: model::Role) -> Vec<usize> {
        let servers = self.servers.iter().enumerate();
        servers
            .filter(|(_, s)| s.role == role)
            .map(|(i, _)| i)
            .collect()
    }

    /// Returns the number of backend servers.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Restarts a process that has ended, with the same name and address.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn start_again(&mut self, which: Which) -> buckthorncleat::Result<()> {
        match which {
            Which::Gateway(i) => {
                let name = format!("gateway-{i}");
                self.gateways[i].child = self.restart("buckthorncleat-gateway", &name)?;
            }
            Which::Control(i) => {
                let name = format!("control-{i}");
                self.control[i] = self.restart("buckthorncleat-control", &name)?;
            }
            Which::Server(i) => {
                let server = &self.servers[i];
                let listen = server.address.to_string();
                self.servers[i] = self.start_stand_in_at(server.role, server.number, &listen)?;
            }
        }
        Ok(())
    }

    /// Deletes the data folder of a control member that has ended.
    ///
    /// # Errors
    ///
    /// If the folder can't be deleted.
    pub fn lose_disk(&self, control: usize) -> buckthorncleat::Result<()> {
        let folder = self.folder.join(format!("control-{control}-data"));
        fs::remove_dir_all(&folder)
            .map_err(|e| buckthorncleat::Error::io(format!("delete {}", folder.display()), e))
    }

    /// Makes a change as an operator: asks each member in turn until one answers other than 503.
    ///
    /// # Errors
    ///
    /// If none does so within `START_TIMEOUT`.
    pub async fn change(
        &self,
        operation: &str,
        changes: Vec<change::Change>,
    ) -> buckthorncleat::Result<client::Answer> {
        let end = time::Instant::now() + cluster::START_TIMEOUT;
        let mut last = String::new();
        while time::Instant::now() < end {
            for address in &self.admin {
                let req = change_request(operation, &changes);
                match time::timeout(cluster::ANSWER_TIMEOUT, client::ask(*address, req)).await {
                    Ok(Ok(answer)) if answer.status.as_u16() != 503 => return Ok(answer),
                    other => last = format!("{other:?}"),
                }
            }
            time::sleep(cluster::RETRY_DELAY).await;
        }
        Err(cluster::timed_out(
            "the control group did not accept the change",
            &last,
        ))
    }

    /// Returns the number of gateways.
    pub fn gateways(&self) -> usize {
        self.gateways.len()
    }

    /// Reads the configuration from the first control member that returns it.
    ///
    /// `None` if none does so within `START_TIMEOUT`.
    pub async fn config(&self) -> Option<wire::Config> {
        let end = time::Instant::now() + cluster::START_TIMEOUT;
        while time::Instant::now() < end {
            for address in &self.admin {
                let answer = read(*address, "/v1/config").await;
                if let Some(config) = answer.and_then(|a| a.json().ok()) {
                    return Some(config);
                }
            }
            time::sleep(cluster::RETRY_DELAY).await;
        }
        None
    }

    /// Returns whether every control member reports as many voters as there are members.
    pub async fn is_repaired(&self) -> bool {
        for i in 0..self.admin.len() {
            if self.voters(i).await.len() != self.admin.len() {
                return false;
            }
        }
        true
    }

    /// Starts another control member, which waits to be admitted, and returns its peer address.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn start_joining_control(&mut self) -> buckthorncleat::Result<net::SocketAddr> {
        let addresses = process::free_addresses(2)?;
        let name = format!("control-{}", self.control.len());
        let mut settings = self.control_settings(0);
        settings.instance = cluster::name(&name);
        settings.peer_address = addresses[0];
        settings.admin_address = addresses[1];
        settings.data_folder = self.folder.join(format!("{name}-data"));
        settings.joins = true;
        let child = self.start_daemon("buckthorncleat-control", &name, &settings)?;
        self.control.push(child);
        self.admin.push(addresses[1]);
        Ok(addresses[0])
    }

    /// Changes the membership of the control group: asks each member in turn until one succeeds.
    ///
    /// # Errors
    ///
    /// If none succeeds within `START_TIMEOUT`.
    pub async fn change_control(
        &self,
        method: hyper::Method,
        name: &str,
        body: &serde_json::Value,
    ) -> buckthorncleat::Result<()> {
        let end = time::Instant::now() + cluster::START_TIMEOUT;
        let mut last = String::new();
        while time::Instant::now() < end {
            for address in &self.admin {
                let path = format!("/v1/control-members/{name}");
                let mut req = as_operator(client::post(&path, body));
                *req.method_mut() = method.clone();
                match time::timeout(cluster::ANSWER_TIMEOUT, client::ask(*address, req)).await {
                    Ok(Ok(answer)) if answer.status.is_success() => return Ok(()),
                    other => last = format!("{other:?}"),
                }
            }
            time::sleep(cluster::RETRY_DELAY).await;
        }
        Err(cluster::timed_out(
            "the membership of the control group did not change",
            &last,
        ))
    }

    /// Returns the voters that a control member reports; empty if it does not answer.
    pub async fn voters(&self, control: usize) -> Vec<String> {
        let status = read(self.admin[control], "/v1/status").await;
        let status = status.and_then(|a| a.json::<serde_json::Value>().ok());
        let voters = status.and_then(|s| s["group"]["voters"].as_array().cloned());
        let voters = voters.unwrap_or_default();
        let names = voters.iter().filter_map(|v| v.as_str());
        names.map(str::to_owned).collect()
    }

    fn restart(&self, program: &str, name: &str) -> buckthorncleat::Result<process::Child> {
        let path = self.folder.join(format!("{name}.json"));
        let path = path.display().to_string();
        process::Child::start(program, name, &["--config", &path], &self.folder)
    }
}

async fn read(address: net::SocketAddr, path: &str) -> Option<client::Answer> {
    let req = as_operator(client::request(hyper::Method::GET, path));
    let answer = time::timeout(cluster::ANSWER_TIMEOUT, client::ask(address, req)).await;
    let answer = answer.ok()?.ok()?;
    answer.status.is_success().then_some(answer)
}

/// Returns an operator's request for a change, with `operation` as its operation id.
pub fn change_request(operation: &str, changes: &[change::Change]) -> hyper::Request<client::Body> {
    let changes = changes.to_vec();
    let mut req = as_operator(client::post("/v1/changes", &wire::Changes { changes }));
    req.headers_mut()
        .insert(write::OPERATION_ID, cluster::header(operation));
    req
}

/// Adds the operator's token to a request.
pub fn as_operator(mut req: hyper::Request<client::Body>) -> hyper::Request<client::Body> {
    let token = format!("Bearer {}", cluster::OPERATOR_TOKEN);
    req.headers_mut()
        .insert(hyper::header::AUTHORIZATION, cluster::header(&token));
    req
}
