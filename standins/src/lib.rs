//! Stand-ins for the external systems that limpetkeel calls, and tools that load and test it.
//!
//! - [`engine`]: a model engine with continuous batching, KV memory and a prefix cache
//! - [`service`]: an HTTP service that records the calls it ran
//! - [`platform`]: the platform: key-value store, leases, instance list and weight store
//! - [`relay`]: a TCP relay that can cut the links between zones
//! - [`fault`]: the faults that each stand-in can inject
//! - [`fleet`]: starts a set of processes and stops them by process id
//! - [`caller`]: sends requests and checks that each response is complete and matches its request
//! - [`history`]: checks the recorded history of a run against the system's invariants
//! - [`matrix`]: runs every combination of step and fault
//! - [`capacity`]: measures resource use as the system grows
//! - [`http_server`]: HTTP server helpers that the stand-ins share
//! - [`load`]: generates seeded open-loop load and measures the responses
//! - [`deployment`]: a deployment that relays traffic, with the platform's store

pub mod caller;
pub mod capacity;
pub mod deployment;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod history;
pub mod http_server;
pub mod load;
pub mod matrix;
pub mod platform;
pub mod relay;
pub mod service;
