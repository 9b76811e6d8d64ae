//! Connections that other members have opened: their requests are read, and the node's responses are queued.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use lynxmill_control_node::{ConnectionId, Input};
use lynxmill_protocol::{FrameDecoder, RequestEnvelope, ResponseEnvelope, encode_frame};

use crate::host::{Host, lock};
use crate::outbox::Outbox;
use crate::peers::tune;

/// Bytes that may wait for a member that reads slowly.
const BACKLOG: usize = 16 << 20;
const STACK: usize = 256 << 10;

#[derive(Default)]
pub(crate) struct Connections {
    open: Mutex<BTreeMap<ConnectionId, Outbox>>,
}

impl Connections {
    /// Connections of other members that are open.
    pub(crate) fn count(&self) -> usize {
        lock(&self.open).len()
    }

    pub(crate) fn send(&self, connection: ConnectionId, response: &ResponseEnvelope) {
        if let Some(outbox) = lock(&self.open).get(&connection) {
            outbox.send(Arc::new(encode_frame(response)));
        }
    }
}

/// Takes other members' connections.
pub(crate) fn serve(host: &Arc<Host>, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        let host = host.clone();
        let thread = std::thread::Builder::new()
            .name("member".to_owned())
            .stack_size(STACK);
        let _ = thread.spawn(move || drop(visit(&host, stream)));
    }
}

fn visit(host: &Arc<Host>, stream: TcpStream) -> std::io::Result<()> {
    tune(&stream);
    let connection = ConnectionId(host.next_number());
    let stream = Arc::new(stream);
    let outbox = Outbox::new(stream.clone(), "to-member", BACKLOG)?;
    lock(&host.connections.open).insert(connection, outbox);
    let ended = read_requests(host, connection, &stream);
    if let Some(outbox) = lock(&host.connections.open).remove(&connection) {
        outbox.close();
    }
    ended
}

/// Reads requests until the connection ends. A frame that can't be read, or is of an unknown kind, ends it
/// and changes nothing.
fn read_requests(
    host: &Arc<Host>,
    connection: ConnectionId,
    mut stream: &TcpStream,
) -> std::io::Result<()> {
    let (mut frames, mut piece) = (FrameDecoder::default(), vec![0u8; 16 << 10]);
    loop {
        let got = stream.read(&mut piece)?;
        if got == 0 {
            return Ok(());
        }
        frames.push(&piece[..got]);
        loop {
            let envelope = match frames.next_message::<RequestEnvelope>() {
                Ok(None) => break,
                Ok(Some(envelope)) if envelope.body.is_some() => envelope,
                Ok(Some(_)) => {
                    host.count("frames-refused");
                    return Err(std::io::Error::other("a request of an unknown kind"));
                }
                Err(error) => {
                    host.count("frames-refused");
                    return Err(std::io::Error::other(error));
                }
            };
            host.step(Input::Peer {
                connection,
                envelope,
            });
        }
    }
}
