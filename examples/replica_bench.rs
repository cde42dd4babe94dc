//! Measures the commit rate and latency of a control group of three members, all in this process
//! and connected over loopback.
//!
//! `cargo run --release --example replica_bench -- [WRITERS] [SECONDS]`

use std::fs;
use std::net;
use std::path;
use std::sync;
use std::time;

use buckthorncleat::clock;
use buckthorncleat::config::settings;
use buckthorncleat::control;
use buckthorncleat::event;
use buckthorncleat::id;
use buckthorncleat::peer::frame;
use buckthorncleat::peer::link;
use buckthorncleat::peer::message;
use buckthorncleat::state::command;
use metrics_exporter_prometheus as prometheus;
use tokio::sync::watch;

const SECRET: &str = "a secret of the measurement";
const TIMEOUT: clock::Millis = clock::Millis::new(2_000);

#[tokio::main]
async fn main() -> buckthorncleat::Result<()> {
    let argument = |at: usize, default: u64| {
        let text = std::env::args().nth(at);
        text.and_then(|t| t.parse().ok()).unwrap_or(default)
    };
    let (writers, seconds) = (argument(1, 16), argument(2, 5));
    let folder = tempfile::tempdir().expect("a temporary folder");
    fs::write(folder.path().join("secret"), SECRET).expect("a writable folder");
    fs::write(
        folder.path().join("operators"),
        "operator 0123456789abcdef0123456789abcdef\n",
    )
    .expect("a writable folder");
    let peers: Vec<settings::ControlPeer> = (0..3).map(peer).collect();
    let stop = watch::Sender::new(false);
    let start = |own: &settings::ControlPeer| {
        let metrics = prometheus::PrometheusBuilder::new()
            .build_recorder()
            .handle();
        let settings = member(folder.path(), own, &peers);
        tokio::spawn(control::run(settings, metrics, stop.subscribe()))
    };
    let members: Vec<_> = peers.iter().map(start).collect();
    buckthorncleat::logging::init();
    let links = links();
    let leader = find_leader(&links, &peers).await;
    let until = time::Instant::now() + time::Duration::from_secs(seconds);
    let running: Vec<_> = (0..writers)
        .map(|writer| tokio::spawn(write(sync::Arc::clone(&links), leader, writer, until)))
        .collect();
    let mut times = Vec::new();
    for writer in running {
        times.extend(writer.await.expect("a writer does not panic"));
    }
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!("{writers} writers, {seconds} s, {} commits", times.len());
    println!("{} commits a second", times.len() as u64 / seconds);
    println!("p50 {:?}, p99 {:?}, max {:?}", at(0.5), at(0.99), at(1.0));
    stop.send_replace(true);
    for member in members {
        member.await.expect("a member does not panic")?;
    }
    Ok(())
}

/// Commits claims one after another and returns the latency of each.
async fn write(
    links: sync::Arc<link::Links>,
    leader: net::SocketAddr,
    writer: u64,
    until: time::Instant,
) -> Vec<time::Duration> {
    let mut times = Vec::new();
    for number in 0.. {
        let start = time::Instant::now();
        if start >= until {
            break;
        }
        let request = message::Request::Propose(command::Command::Claim(command::Claim {
            key: command::ClaimKey {
                owner: format!("writer-{writer}"),
                key: format!("{number}"),
            },
            digest: number,
            request: id::RequestId::new(number.into()),
            gateway: links.identity().instance.clone(),
            incarnation: links.identity().incarnation,
        }));
        let reply = links.request(leader, &request, TIMEOUT).await;
        if matches!(reply, Ok(message::Reply::Applied(_))) {
            times.push(start.elapsed());
        }
    }
    times
}

async fn find_leader(links: &link::Links, peers: &[settings::ControlPeer]) -> net::SocketAddr {
    let nothing = message::Request::Propose(command::Command::System(Vec::new()));
    loop {
        for peer in peers {
            let reply = links.request(peer.peer_address, &nothing, TIMEOUT).await;
            if matches!(reply, Ok(message::Reply::Applied(_))) {
                return peer.peer_address;
            }
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

fn links() -> sync::Arc<link::Links> {
    let instance: id::InstanceId = "writer".parse().expect("a well-formed name");
    let recorder = sync::Arc::new(event::Recorder::new(instance.clone()));
    let secret = frame::Secret::from_bytes(SECRET.as_bytes()).expect("a long secret");
    let identity = link::Identity::new(instance, secret, recorder);
    sync::Arc::new(link::Links::new(sync::Arc::new(identity)))
}

fn peer(number: usize) -> settings::ControlPeer {
    settings::ControlPeer {
        instance: format!("control-{number}")
            .parse()
            .expect("a well-formed name"),
        peer_address: free_address(),
    }
}

fn member(
    folder: &path::Path,
    own: &settings::ControlPeer,
    peers: &[settings::ControlPeer],
) -> settings::Control {
    settings::Control {
        instance: own.instance.clone(),
        data_centre: "here".parse().expect("a well-formed name"),
        peer_address: own.peer_address,
        admin_address: free_address(),
        members: peers.to_vec(),
        data_folder: folder.join(own.instance.as_str()),
        secret_file: folder.join("secret"),
        operators_file: folder.join("operators"),
        joins: false,
        timing: settings::ControlTiming::default(),
    }
}

fn free_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound listener")
}
