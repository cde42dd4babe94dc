//! One deployment on the loopback interface: stand-ins, control group and gateways, each as a
//! process.

mod configuration;
pub mod operate;

use std::fs;
use std::net;
use std::path;

use buckthorncleat::config::settings;
use buckthorncleat::controller::ownership;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::state::model;
use buckthorncleat::unit;
use tokio::time;

use crate::client;
use crate::fault;
use crate::load::plan;
use crate::load::policy;
use crate::process;

/// Rate of each engine's link for KV memory transfers.
pub const LINK: unit::BytesPerSecond = unit::BytesPerSecond::new(1_250_000_000);

const MEMORY: unit::Pieces = unit::Pieces::new(128);
const SLOTS: u32 = 20;
const CONTROL_MEMBERS: usize = 3;
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];
const OPERATOR_TOKEN: &str = "load-tool-operator-token";
const SECRET: &str = "load-tool-shared-secret";

/// Longest time for the gateways to serve after their start, and for the control group to
/// accept a change or return the configuration.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Longest time for one control member to answer a request.
pub const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(3);

const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Number of processes of each kind in a cluster.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Size {
    /// Number of prefill engines.
    #[arg(long, default_value_t = 5)]
    pub prefill: usize,
    /// Number of decode engines.
    #[arg(long, default_value_t = 3)]
    pub decode: usize,
    /// Number of plain services.
    #[arg(long, default_value_t = 2)]
    pub services: usize,
    /// Number of gateways.
    #[arg(long, default_value_t = 3)]
    pub gateways: usize,
}

/// A running deployment, whose processes are killed when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    folder: path::PathBuf,
    servers: Vec<Server>,
    control: Vec<process::Child>,
    admin: Vec<net::SocketAddr>,
    peers: Vec<settings::ControlPeer>,
    gateways: Vec<Gateway>,
    model: id::ModelId,
}

#[derive(Debug)]
struct Server {
    role: model::Role,
    number: usize,
    address: net::SocketAddr,
    child: process::Child,
}

#[derive(Debug)]
struct Gateway {
    id: id::InstanceId,
    address: net::SocketAddr,
    status: net::SocketAddr,
    child: process::Child,
}

impl Cluster {
    /// Starts all processes, configures them and waits until all gateways serve.
    ///
    /// Settings, logs and data go into `folder`. The addresses of the gateways and backend servers
    /// are written to `plan`.
    ///
    /// # Errors
    ///
    /// If a program is not built or can't be started, the configuration is not accepted, or a
    /// gateway does not serve within `START_TIMEOUT`.
    pub async fn start(
        folder: &path::Path,
        size: Size,
        policy: policy::Policy,
        plan: &mut plan::Plan,
    ) -> buckthorncleat::Result<Self> {
        let mut cluster = Self {
            folder: folder.to_owned(),
            servers: Vec::new(),
            control: Vec::new(),
            admin: Vec::new(),
            peers: Vec::new(),
            gateways: Vec::new(),
            model: plan.model.id.clone(),
        };
        cluster.write_text("secret", SECRET)?;
        cluster.write_text("operators", &format!("load {OPERATOR_TOKEN}\n"))?;
        cluster.start_stand_ins(size)?;
        cluster.start_control()?;
        cluster.configure(plan).await?;
        cluster.start_gateways(size.gateways, policy)?;
        cluster.fill_addresses(plan);
        cluster.wait_serving(plan).await?;
        Ok(cluster)
    }

    /// Kills the gateways and stops the other processes with SIGTERM.
    ///
    /// Gateways are killed because their graceful shutdown waits until the entry advice expires.
    ///
    /// # Errors
    ///
    /// If a process can't be signalled or does not end in time.
    pub fn end(mut self) -> buckthorncleat::Result<()> {
        for gateway in &mut self.gateways {
            gateway.child.kill()?;
        }
        let servers = self.servers.iter_mut().map(|s| &mut s.child);
        end_all(self.control.iter_mut().chain(servers))
    }

    /// Kills the first decode engine, if there is one.
    ///
    /// # Errors
    ///
    /// If the operating system refuses to kill it.
    pub fn kill_decode_engine(&mut self) -> buckthorncleat::Result<()> {
        let decode = |s: &&mut Server| s.role == model::Role::Decode;
        let server = self.servers.iter_mut().find(decode);
        server.map_or(Ok(()), |server| server.child.kill())
    }

    /// Kills the gateway that owns the scheduler of the model.
    ///
    /// # Errors
    ///
    /// If the operating system refuses to kill it.
    pub fn kill_placement_owner(&mut self) -> buckthorncleat::Result<()> {
        let role = ownership::Role::Scheduler(self.model.clone());
        let members = self.gateways.iter().map(|g| (g.id.clone(), member(g)));
        let members: sorted::Map<_, _> = members.collect();
        let owner = ownership::owner_of(&role, &members);
        let gateway = self.gateways.iter_mut().find(|g| Some(&g.id) == owner);
        gateway.map_or(Ok(()), |gateway| gateway.child.kill())
    }

    /// Injects faults into the first prefill engine, if there is one.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn set_prefill_faults(&self, faults: &fault::Faults) -> buckthorncleat::Result<()> {
        let prefill = |s: &&Server| s.role == model::Role::Prefill;
        if let Some(server) = self.servers.iter().find(prefill) {
            let req = client::post("/_stand-in/faults", faults);
            client::ask(server.address, req).await?;
        }
        Ok(())
    }

    fn start_stand_ins(&mut self, size: Size) -> buckthorncleat::Result<()> {
        let roles = [
            (model::Role::Prefill, size.prefill),
            (model::Role::Decode, size.decode),
            (model::Role::Plain, size.services),
        ];
        for (role, count) in roles {
            for number in 0..count {
                let server = self.start_stand_in(role, number)?;
                self.servers.push(server);
            }
        }
        Ok(())
    }

    fn start_stand_in(&self, role: model::Role, number: usize) -> buckthorncleat::Result<Server> {
        self.start_stand_in_at(role, number, "127.0.0.1:0")
    }

    fn start_stand_in_at(
        &self,
        role: model::Role,
        number: usize,
        listen: &str,
    ) -> buckthorncleat::Result<Server> {
        let name = format!("{role}-{number}");
        let role_name = role.to_string();
        let link = LINK.to_string();
        let slots = SLOTS.to_string();
        let memory = MEMORY.to_string();
        let engine = [
            "engine",
            "--id",
            &name,
            "--role",
            &role_name,
            "--model",
            self.model.as_str(),
            "--slots",
            &slots,
            "--memory-pieces",
            &memory,
            "--link-bytes-per-second",
            &link,
        ];
        let plain = ["plain", "--id", &name];
        let args = match role {
            model::Role::Plain => &plain[..],
            model::Role::Prefill | model::Role::Decode => &engine[..],
        };
        let (child, address) =
            process::Child::start_stand_in_at(&name, args, listen, &self.folder)?;
        Ok(Server {
            role,
            number,
            address,
            child,
        })
    }

    fn start_control(&mut self) -> buckthorncleat::Result<()> {
        let peers = process::free_addresses(2 * CONTROL_MEMBERS)?;
        let (peers, admin) = peers.split_at(CONTROL_MEMBERS);
        self.admin = admin.to_vec();
        let member = |(i, address): (usize, &net::SocketAddr)| settings::ControlPeer {
            instance: name(&format!("control-{i}")),
            peer_address: *address,
        };
        self.peers = peers.iter().enumerate().map(member).collect();
        for i in 0..CONTROL_MEMBERS {
            let settings = self.control_settings(i);
            let child =
                self.start_daemon("buckthorncleat-control", &format!("control-{i}"), &settings)?;
            self.control.push(child);
        }
        Ok(())
    }

    fn control_settings(&self, i: usize) -> settings::Control {
        settings::Control {
            instance: self.peers[i].instance.clone(),
            data_centre: data_centre(i),
            peer_address: self.peers[i].peer_address,
            admin_address: self.admin[i],
            members: self.peers.clone(),
            data_folder: self.folder.join(format!("control-{i}-data")),
            secret_file: self.folder.join("secret"),
            operators_file: self.folder.join("operators"),
            joins: false,
            timing: settings::ControlTiming::default(),
        }
    }

    fn start_gateways(
        &mut self,
        count: usize,
        policy: policy::Policy,
    ) -> buckthorncleat::Result<()> {
        let addresses = process::free_addresses(3 * count)?;
        for (i, addresses) in addresses.chunks_exact(3).enumerate() {
            let id = format!("gateway-{i}");
            let settings = self.gateway_settings(i, &id, addresses, policy);
            let child = self.start_daemon("buckthorncleat-gateway", &id, &settings)?;
            self.gateways.push(Gateway {
                id: settings.instance,
                address: settings.caller_address,
                status: settings.status_address,
                child,
            });
        }
        Ok(())
    }

    fn gateway_settings(
        &self,
        i: usize,
        id: &str,
        addresses: &[net::SocketAddr],
        policy: policy::Policy,
    ) -> settings::Gateway {
        settings::Gateway {
            instance: name(id),
            data_centre: data_centre(i),
            caller_address: addresses[0],
            peer_address: addresses[1],
            status_address: addresses[2],
            control: self.peers.clone(),
            secret_file: self.folder.join("secret"),
            platform_address: None,
            placement: policy.placement(),
            objective: policy.objective(),
            limits: policy.limits(),
            timing: settings::GatewayTiming::default(),
        }
    }

    fn start_daemon<T: serde::Serialize>(
        &self,
        program: &str,
        name: &str,
        settings: &T,
    ) -> buckthorncleat::Result<process::Child> {
        let file = format!("{name}.json");
        let text = serde_json::to_string_pretty(settings).expect("settings are plain data");
        self.write_text(&file, &text)?;
        let path = self.folder.join(file).display().to_string();
        process::Child::start(program, name, &["--config", &path], &self.folder)
    }

    fn write_text(&self, file: &str, text: &str) -> buckthorncleat::Result<()> {
        let path = self.folder.join(file);
        fs::write(&path, text)
            .map_err(|e| buckthorncleat::Error::io(format!("write {}", path.display()), e))
    }
    fn fill_addresses(&self, plan: &mut plan::Plan) {
        let of = |plain| {
            let servers = self.servers.iter();
            let servers = servers.filter(move |s| (s.role == model::Role::Plain) == plain);
            servers.map(|s| s.address).collect()
        };
        plan.entries = self.gateways.iter().map(|g| g.address).collect();
        plan.engines = of(false);
        plan.services = of(true);
    }

    async fn wait_serving(&self, plan: &plan::Plan) -> buckthorncleat::Result<()> {
        let end = time::Instant::now() + START_TIMEOUT;
        for gateway in &self.gateways {
            let mut last = String::new();
            while !serves(plan, gateway.address, self.gateways.len(), &mut last).await {
                if time::Instant::now() > end {
                    last.push_str(&gateway.child.log());
                    return Err(timed_out(
                        &format!("gateway {} does not serve", gateway.id),
                        &last,
                    ));
                }
                time::sleep(RETRY_DELAY).await;
            }
        }
        Ok(())
    }
}

fn end_all<'a>(
    children: impl Iterator<Item = &'a mut process::Child>,
) -> buckthorncleat::Result<()> {
    let mut running: Vec<_> = children
        .filter_map(|c| c.is_running().then_some(c))
        .collect();
    for child in &mut running {
        child.signal(process::Signal::Term)?;
    }
    for child in running {
        let code = child.wait_end()?;
        log::info!("process {} ended with exit code {code:?}", child.name());
    }
    Ok(())
}

/// Returns whether a gateway lists all gateways at `/v1/entries` and answers a lookup.
///
/// Both answers are written to `last`, for the error when the gateway does not serve in time.
async fn serves(
    plan: &plan::Plan,
    address: net::SocketAddr,
    entries: usize,
    last: &mut String,
) -> bool {
    let advice = client::request(hyper::Method::GET, "/v1/entries");
    let mut lookup = client::request(hyper::Method::GET, &plan.traffic.lookup_path);
    let key = format!("Bearer {}", plan.accounts[0].key);
    lookup
        .headers_mut()
        .insert(hyper::header::AUTHORIZATION, header(&key));
    let advice = client::ask(address, advice).await;
    let lookup = client::ask(address, lookup).await;
    *last = format!("{advice:?} {lookup:?}");
    let named = advice.and_then(|a| a.json::<buckthorncleat::controller::entries::Answer>());
    named.is_ok_and(|a| a.entries.len() == entries) && lookup.is_ok_and(|a| a.status.is_success())
}

fn member(gateway: &Gateway) -> model::Member {
    model::Member {
        id: gateway.id.clone(),
        incarnation: id::Incarnation::new(1),
        data_centre: data_centre(0),
        caller_address: gateway.address,
        peer_address: gateway.address,
        leaving: false,
    }
}

fn name<T: std::str::FromStr<Err = buckthorncleat::Error>>(text: &str) -> T {
    text.parse().expect("fixed names are valid")
}

fn data_centre(i: usize) -> id::DataCentre {
    name(DATA_CENTRES[i % DATA_CENTRES.len()])
}

fn header(text: &str) -> hyper::header::HeaderValue {
    text.parse().expect("fixed texts are header values")
}

fn timed_out(what: &str, last: &str) -> buckthorncleat::Error {
    buckthorncleat::Error::damaged(
        format!("{what} in time; last answer: {last}"),
        "see the logs of the processes in the folder of the run",
    )
}
