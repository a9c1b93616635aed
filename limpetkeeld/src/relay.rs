//! Relays requests to any upstream service without interpreting their bodies.
//!
//! [`front`] accepts a request and matches it to a route, and [`drive`] carries it to its end:
//! [`planning`] obtains a plan from the pool's planner, [`reserve`] reserves memory on the helper
//! engines, [`attempt`] makes one attempt over one connection of [`upstream`], and [`stream`]
//! forwards an event stream to the caller through [`response_writer`]. [`history`] logs the
//! result. [`follow`] receives table changes from the store, a watcher or a peer, [`adopt`] applies
//! them, and [`register`] keeps the local instance registered in the store. [`reload`] rereads the
//! settings, and [`leave`] shuts the instance down.
//!
//! Wire formats are confined to implementations of the traits in [`port`].

pub mod adopt;
pub mod attempt;
pub mod body;
pub mod caller_request;
pub mod daemon;
pub mod drive;
pub mod events;
pub mod follow;
pub mod front;
pub mod history;
pub mod jobs;
pub mod leave;
pub mod peer_handler;
pub mod planning;
pub mod port;
pub mod register;
pub mod reload;
pub mod reserve;
pub mod response_writer;
pub mod retry_budget;
pub mod settings;
pub mod shared;
pub mod stream;
pub mod task;
pub mod upstream;
pub mod worker;
