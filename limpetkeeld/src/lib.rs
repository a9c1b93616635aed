//! The limpetkeel daemon.
//!
//! [`front`] decodes each request, and [`request_lifecycle`] drives its life cycle: [`placement`]
//! obtains a grant from a keeper, and [`engine`] or [`service`] calls the upstream. [`keepers`]
//! runs the keepers of this instance on the [`worker`] pool. [`gossip`] and [`tables`] keep the
//! member list and the tables current, [`run_once`] writes the records of run-once calls, and
//! [`version_orders`] changes the versions of upstreams. These modules share the tables in
//! [`shared`]; [`limpetkeel::LockLevel`] defines their lock order.
//!
//! Each external system has one adapter: [`platform`], [`engine`] or [`service`]. [`peer`] connects
//! the instances of the system to each other.
//!
//! [`relay`] is a second daemon, which relays requests without interpreting their bodies. The
//! executable `limpetkeel-node` runs it.

pub mod cli;
pub mod clock;
pub mod counting_stream;
pub mod daemon;
pub mod engine;
pub mod front;
pub mod gossip;
pub mod keepers;
pub mod latest_era;
pub mod listener;
pub mod local_state;
pub mod log;
mod metric_registrar;
pub mod metrics;
pub mod peer;
pub mod peer_handler;
pub mod placement;
pub mod platform;
pub mod process_limit;
pub mod relay;
pub mod request_lifecycle;
pub mod run_once;
pub mod service;
pub mod settings;
pub mod shared;
pub mod tables;
pub mod version_orders;
pub mod worker;
