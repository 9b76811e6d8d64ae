//! A small HTTP/1.1 server for calls with bodies that fit into memory: control calls, directories, health pages.
//!
//! Each server runs as one future. Connections, bodies and the time for them are bounded by [`Limits`]. A caller that closes
//! its connection before it is answered drops the future of its call, and a server that ends gives each caller its answer to
//! the last byte.

mod body;
mod connection;
mod request;
pub mod response;
mod server;

pub use body::BodyError;
pub use request::Request;
pub use response::Response;
pub use server::{HttpServer, Limits, OpenConnections};
