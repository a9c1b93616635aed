//! Relays requests to any upstream service without interpreting their bodies.
//!
//! [`front`] accepts a connection, which [`caller_connection`] adds to the connection table and
//! [`caller_stream`] reads and writes, and matches a request to a route. [`caller_body`] receives its
//! body into memory that is reserved in [`memory`], and [`drive`] carries the request to its end. For
//! each attempt, [`preparation`] obtains a plan through [`planning`] from the pool's planner, which
//! is the [`local_planner`] of one instance, connects to the lead, and reserves memory on the helper
//! engines through [`reservations`]. [`path`] connects to upstreams, by the instance itself or through
//! a peer, for which [`tunnel`] connects. [`hedge`] starts the attempt, and a second one if the response is slow. [`attempt`] sends the request over one connection of
//! [`upstream`], [`availability`] keeps what the response says about further requests, and
//! [`stream`] forwards an event stream to the caller through [`response_writer`].
//! [`request_summary`] logs the result.
//!
//! [`store_watch`] receives table changes from the store or a watcher, [`peer_fallback`] requests
//! them from peers, and [`store_updates`] applies them. [`quarantine`] writes the quarantines of the
//! local planners to the store, and [`register`] keeps the local instance registered there.
//! [`reload`] rereads the settings, and [`drain`] shuts the instance down.
//!
//! Wire formats are confined to implementations of the traits in [`port`].

pub mod attempt;
pub mod availability;
pub mod body;
pub mod caller_body;
pub mod caller_connection;
pub mod caller_request;
pub mod caller_stream;
pub mod daemon;
pub mod drain;
pub mod drive;
pub mod evacuation;
pub mod event_queue;
pub mod events;
pub mod exchange;
pub mod freshness;
pub mod front;
pub mod hedge;
pub mod jobs;
pub mod local_planner;
pub mod memory;
pub mod path;
pub mod peer_fallback;
pub mod peer_handler;
pub mod planning;
pub mod port;
pub mod preparation;
pub mod quarantine;
pub mod register;
pub mod reload;
pub mod request_summary;
pub mod reservations;
pub mod response_body;
pub mod response_memory;
pub mod response_writer;
pub mod retry_budget;
pub mod settings;
pub mod shared;
pub mod store_updates;
pub mod store_watch;
pub mod stream;
pub mod task;
pub mod tunnel;
pub mod upstream;
pub mod worker;
