//! Reverse proxy of the edge. A request's way: [`downstream`] takes it from a client, `request` finds its
//! route and reads its body, `attempts` sends it to one task or more, [`upstream`] carries one exchange
//! with a task on a connection of the [`pool`], `response` makes what the client gets.
//!
//! All of it runs in one thread, within a `tokio::task::LocalSet`.

pub mod app;
mod attempts;
mod body;
pub mod connections;
pub mod downstream;
mod headers;
pub mod memory;
pub mod pool;
mod ready;
mod reports;
mod request;
mod response;
pub mod server;
pub mod shutdown;
pub mod start;
mod streams;
pub mod upstream;
