//! Loopback ports for daemons that are started by tests.
//!
//! Several test processes may run at once, and a daemon listens on its port some time after it was
//! chosen, and again after each restart. So each process claims whole blocks of ports: it listens
//! on the first port of a block for as long as it runs, which keeps other processes out.

use std::io;
use std::net;
use std::sync;

/// The first port of the first block.
const FIRST_PORT: u16 = 11_000;

/// The number of blocks. All lie below the ephemeral range, from which the system takes the ports
/// of outgoing connections.
const BLOCKS: u16 = 340;

/// The ports of a block, of which the first one is the claim.
const BLOCK_PORTS: u16 = 64;

static CLAIMED: sync::Mutex<Blocks> = sync::Mutex::new(Blocks {
    claims: Vec::new(),
    next_block: 0,
    free: Vec::new(),
});

/// The blocks of this process.
struct Blocks {
    claims: Vec<net::TcpListener>,
    /// The first block that was not tried yet.
    next_block: u16,
    /// The ports of the last block that were not given out yet.
    free: Vec<u16>,
}

/// Returns a loopback address that no other process gets as long as this one runs.
///
/// # Errors
///
/// Fails when all blocks are claimed.
pub fn claim() -> io::Result<net::SocketAddr> {
    let mut blocks = CLAIMED.lock().unwrap_or_else(sync::PoisonError::into_inner);
    loop {
        while let Some(port) = blocks.free.pop() {
            // Programs that know nothing of blocks may listen there.
            if net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, port)).is_ok() {
                return Ok((net::Ipv4Addr::LOCALHOST, port).into());
            }
        }
        blocks.claim_next()?;
    }
}

impl Blocks {
    fn claim_next(&mut self) -> io::Result<()> {
        while self.next_block < BLOCKS {
            let first = FIRST_PORT + self.next_block * BLOCK_PORTS;
            self.next_block += 1;
            if let Ok(claim) = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, first)) {
                self.claims.push(claim);
                self.free = (first + 1..first + BLOCK_PORTS).rev().collect();
                return Ok(());
            }
        }
        Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "all loopback ports for tests are claimed; end other test runs",
        ))
    }
}
