//! Placement of model requests on prefill and decode servers, decided by one owner for a model.

pub mod message;

pub use message::{Place, Placement, Refusal, Reply, Request, Role};
