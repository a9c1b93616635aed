//! The limpetkeel daemon.
//!
//! A request enters at [`front`], which decodes it, and follows [`path`], which drives its life
//! cycle: [`placing`] gets a grant from a keeper, and [`engine`] or [`service`] talks to the
//! upstream. [`keeping`] runs the keepers that this instance owns, on the [`worker`] pool.
//! [`gossip`] and [`tables`] keep members and tables current; [`run_once`] writes the records of
//! calls that may not be repeated, and [`ordering`] changes the versions of upstreams. All of them share the tables in [`shared`], whose lock order
//! [`limpetkeel::Level`] states.
//!
//! Every outside system has one adapter: [`platform`], [`engine`], [`service`] and, between the
//! system's own processes, [`peer`].

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
