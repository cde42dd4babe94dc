//! Simulation of a group of replicas: network, disks, faults and safety checks.

pub mod disk;
pub mod network;
pub mod node;
pub mod oracle;
pub mod world;
