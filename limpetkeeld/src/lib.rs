//! The limpetkeel daemon.
//!
//! [`front`] decodes each request, and [`path`] drives its life cycle: [`placing`] obtains a grant
//! from a keeper, and [`engine`] or [`service`] calls the upstream. [`keeping`] runs the keepers of
//! this instance on the [`worker`] pool. [`gossip`] and [`tables`] keep the member list and the
//! tables current, [`run_once`] writes the records of run-once calls, and [`ordering`] changes the
//! versions of upstreams. These modules share the tables in [`shared`]; [`limpetkeel::LockLevel`]
//! defines their lock order.
//!
//! Each external system has one adapter: [`platform`], [`engine`] or [`service`]. [`peer`] connects
//! the instances of the system to each other.

pub mod answers;
pub mod clock;
pub mod daemon;
mod define;
pub mod engine;
pub mod front;
pub mod gossip;
pub mod keeping;
pub mod listener;
pub mod log;
pub mod metered;
pub mod metrics;
pub mod ordering;
pub mod own_stage;
pub mod path;
pub mod peer;
pub mod placing;
pub mod platform;
pub mod program;
pub mod relay;
pub mod run_once;
pub mod service;
pub mod settings;
pub mod shared;
pub mod tables;
pub mod worker;
