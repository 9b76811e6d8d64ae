//! A request that has been read in full.

use bytes::Bytes;
use hyper::http::request::Parts;
use percent_encoding::percent_decode_str;

use crate::body::Reservation;

/// A call: its method, its path and its whole body.
#[derive(Debug)]
pub struct Request {
    head: Parts,
    body: Bytes,
    _reservation: Reservation,
}

impl Request {
    pub(crate) fn new(head: Parts, body: Bytes, reservation: Reservation) -> Self {
        Request {
            head,
            body,
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
}
