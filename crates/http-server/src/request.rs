//! A request that has been read in full.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::http::request::Parts;
use percent_encoding::percent_decode_str;

use crate::body::Reservation;
use crate::connection::Connection;

/// A call: its method, its path and its whole body.
#[derive(Debug)]
pub struct Request {
    head: Parts,
    body: Bytes,
    caller: SocketAddr,
    sent_after: u64,
    _reservation: Reservation,
}

impl Request {
    pub(crate) fn new(
        head: Parts,
        body: Bytes,
        connection: &Connection,
        reservation: Reservation,
    ) -> Self {
        Request {
            head,
            body,
            caller: connection.caller(),
            sent_after: connection.sent_after(),
            _reservation: reservation,
        }
    }

    /// The method, as `GET`.
    pub fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// The path without the query, its percent-encoding decoded.
    pub fn path(&self) -> String {
        percent_decode_str(self.head.uri.path())
            .decode_utf8_lossy()
            .into_owned()
    }

    /// The path without the query, as it was sent.
    pub fn encoded_path(&self) -> &str {
        self.head.uri.path()
    }

    /// A parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.head.uri.query().unwrap_or_default();
        let mut pairs = form_urlencoded::parse(query.as_bytes());
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// The whole body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }
    /// The address that the caller calls from.
    pub fn caller(&self) -> SocketAddr {
        self.caller
    }

    /// A version that the server's state had reached before the caller sent this request; see
    /// [`HttpServer::serve_versioned`](crate::HttpServer::serve_versioned). 0 if the server's state has no versions.
    pub fn sent_after(&self) -> u64 {
        self.sent_after
    }
}
