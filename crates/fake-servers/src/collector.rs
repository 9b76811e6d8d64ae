//! A collector's connection to the assigner's address; strangers use it too.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// One message: a RESP2 array of bulk strings.
pub fn words(words: &[&str]) -> Vec<u8> {
    let mut message = format!("*{}\r\n", words.len());
    words
        .iter()
        .for_each(|word| message.push_str(&format!("${}\r\n{word}\r\n", word.len())));
    message.into_bytes()
}

pub struct Collector(TcpStream);

impl Collector {
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        Ok(Collector(stream))
    }

    /// Its own.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes)
    }

    pub fn say(&mut self, message: &[&str]) -> io::Result<()> {
        self.write(&words(message))
    }

    /// Whether a heartbeat is answered.
    pub fn alive(&mut self) -> bool {
        let expected = words(&["hb_ok"]);
        let mut answer = vec![0; expected.len()];
        self.say(&["hb"])
            .and_then(|()| self.0.read_exact(&mut answer))
            .is_ok()
            && answer == expected
    }

    /// All that comes until the other side closes the connection; an error if it stays open.
    pub fn rest(&mut self) -> io::Result<Vec<u8>> {
        let mut rest = Vec::new();
        match self.0.read_to_end(&mut rest) {
            Err(e) if e.kind() != ErrorKind::ConnectionReset => Err(e),
            _ => Ok(rest),
        }
    }
}
