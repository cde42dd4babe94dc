//! A world of replicas: network, disks, faults and the checks over all of them.

pub mod disk;
pub mod network;
pub mod node;
pub mod oracle;
pub mod world;
