//! Connections to other members: each dials each other, asks on the connection that it dialled, and is
//! answered there.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lynxmill_control_node::Input;
use lynxmill_protocol::{FrameDecoder, RequestEnvelope, ResponseEnvelope, encode_frame};

use crate::host::{Host, lock};
use crate::outbox::Outbox;

const CONNECT: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(150);
/// A connection on which nothing came for so long is a dead one: members talk several times a second.
const SILENT: Duration = Duration::from_millis(2_000);
/// Bytes that may wait for a member that reads slowly.
const BACKLOG: usize = 16 << 20;
const STACK: usize = 256 << 10;

#[derive(Default)]
struct Peer {
    outbox: Mutex<Option<Outbox>>,
}

/// Connections to other members, by address.
pub(crate) struct Peers {
    port: u16,
    peers: Mutex<BTreeMap<String, Arc<Peer>>>,
}

/// What all connections between members have in common.
pub(crate) fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(SILENT));
    let _ = stream.set_read_timeout(Some(SILENT));
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(SILENT));
}

impl Peers {
    pub(crate) fn new(port: u16) -> Self {
        Peers {
            port,
            peers: Mutex::new(BTreeMap::new()),
        }
    }

    /// Keeps a connection to another from now on.
    pub(crate) fn connect(&self, host: &Arc<Host>, ip: &str) {
        let peer = Arc::new(Peer::default());
        lock(&self.peers).insert(ip.to_owned(), peer.clone());
        let (host, ip, port) = (host.clone(), ip.to_owned(), self.port);
        let thread = std::thread::Builder::new()
            .name("peer".to_owned())
            .stack_size(STACK);
        if let Err(error) = thread.spawn(move || follow(&host, &peer, &ip, port)) {
            log::error!("no thread for a member: {error}");
        }
    }

    /// Queues a request, if there is a connection.
    pub(crate) fn send(&self, ip: &str, envelope: &RequestEnvelope) {
        let Some(peer) = lock(&self.peers).get(ip).cloned() else {
            return;
        };
        if let Some(outbox) = lock(&peer.outbox).as_ref() {
            outbox.send(Arc::new(encode_frame(envelope)));
        }
    }
}

/// Dials a member again and again.
fn follow(host: &Arc<Host>, peer: &Peer, ip: &str, port: u16) {
    let Ok(address) = format!("{ip}:{port}").parse::<SocketAddr>() else {
        return;
    };
    loop {
        if let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT) {
            tune(&stream);
            let stream = Arc::new(stream);
            if let Ok(outbox) = Outbox::new(stream.clone(), "to-peer", BACKLOG) {
                *lock(&peer.outbox) = Some(outbox);
                read_responses(host, ip, &stream);
                *lock(&peer.outbox) = None;
            }
        }
        std::thread::sleep(PAUSE);
    }
}

fn read_responses(host: &Arc<Host>, ip: &str, mut stream: &TcpStream) {
    let (mut frames, mut piece) = (FrameDecoder::default(), vec![0u8; 16 << 10]);
    'connection: while let Ok(got) = stream.read(&mut piece) {
        if got == 0 {
            break;
        }
        frames.push(&piece[..got]);
        loop {
            match frames.next_message::<ResponseEnvelope>() {
                Ok(Some(response)) => host.step(Input::Response {
                    from: ip.to_owned(),
                    response,
                }),
                Ok(None) => break,
                Err(error) => {
                    host.count("frames-refused");
                    log::warn!("member {ip} sends what can't be read: {error}");
                    break 'connection;
                }
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
