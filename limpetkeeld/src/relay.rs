//! Relaying: requests of any service, passed on byte for byte.
//!
//! A request enters at [`front`], which joins it to its route, and follows [`drive`]: [`planning`]
//! gets a plan from the pool's planner, [`reserve`] sets memory aside for groups, and [`attempt`]
//! makes one attempt over one connection of [`upstream`], whose stream [`stream`] passes on.
//! [`history`] records how it ended. [`follow`] hears of changes from the store, a watcher or a
//! peer, [`adopt`] puts them in force, and [`register`] keeps the own instance listed. [`reload`]
//! reads the settings again, and [`leave`] ends the instance.
//!
//! All wire formats are behind the traits of [`port`].

pub mod adopt;
pub mod answers;
pub mod attempt;
pub mod body;
pub mod budget;
pub mod call;
pub mod daemon;
pub mod drive;
pub mod events;
pub mod follow;
pub mod front;
pub mod history;
pub mod jobs;
pub mod leave;
pub mod outlet;
pub mod planning;
pub mod port;
pub mod register;
pub mod reload;
pub mod reserve;
pub mod settings;
pub mod shared;
pub mod stream;
pub mod task;
pub mod upstream;
pub mod worker;
