//! Connections to other members: each dials each other, asks on the connection that it dialled, and is answered there.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lynxmill_protocol::{Envelope, Frames, PeerRequest, PeerResponse, ResponseEnvelope, frame};

use crate::port::{ControlPlane, lock};

const CONNECT: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(150);
const WRITE: Duration = Duration::from_millis(400);
/// A connection on which nothing came for so long is a dead one: members talk several times a second.
const SILENT: Duration = Duration::from_millis(2_000);
const STACK: usize = 256 << 10;

type Waiting = Sender<(String, PeerResponse)>;

#[derive(Default)]
struct Peer {
    stream: Mutex<Option<TcpStream>>,
    waiting: Mutex<BTreeMap<u64, Waiting>>,
}

#[derive(Default)]
pub struct Peers {
    peers: Mutex<BTreeMap<String, Arc<Peer>>>,
    asked: AtomicU64,
}

fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE));
    let _ = stream.set_read_timeout(Some(SILENT));
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(SILENT));
}

impl Peer {
    fn write(&self, bytes: &[u8]) {
        let mut stream = lock(&self.stream);
        if let Some(open) = stream.as_mut()
            && open.write_all(bytes).is_err()
        {
            let _ = open.shutdown(Shutdown::Both);
            *stream = None;
        }
    }

    fn read(&self, ip: &str, mut stream: TcpStream) {
        let (mut frames, mut piece) = (Frames::default(), vec![0u8; 16 << 10]);
        while let Ok(got) = stream.read(&mut piece) {
            if got == 0 {
                break;
            }
            frames.push(&piece[..got]);
            let mut broken = false;
            loop {
                let reply = match frames.take::<ResponseEnvelope>() {
                    Ok(Some(reply)) => reply,
                    Ok(None) => break,
                    Err(fault) => {
                        log::warn!("member {ip} sends what can't be read: {fault}");
                        broken = true;
                        break;
                    }
                };
                let waiting = lock(&self.waiting).remove(&reply.id);
                if let (Some(waiting), Some(body)) = (waiting, reply.body) {
                    let _ = waiting.send((ip.to_owned(), body));
                }
            }
            if broken {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn follow(&self, ip: &str, port: u16) {
        let Ok(address) = format!("{ip}:{port}").parse::<SocketAddr>() else { return };
        loop {
            if let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT) {
                tune(&stream);
                if let Ok(other) = stream.try_clone() {
                    *lock(&self.stream) = Some(other);
                    self.read(ip, stream);
                    *lock(&self.stream) = None;
                    lock(&self.waiting).clear();
                }
            }
            std::thread::sleep(PAUSE);
        }
    }
}

impl Peers {
    /// Keeps a connection to another from now on.
    pub fn know(&self, ip: &str, port: u16) {
        let mut peers = lock(&self.peers);
        if peers.contains_key(ip) {
            return;
        }
        let peer = Arc::new(Peer::default());
        peers.insert(ip.to_owned(), peer.clone());
        let ip = ip.to_owned();
        let follow = move || peer.follow(&ip, port);
        let spawned = std::thread::Builder::new().name("peer".to_owned()).stack_size(STACK).spawn(follow);
        if let Err(fault) = spawned {
            log::error!("no thread for a member: {fault}");
        }
    }

    pub fn known(&self) -> Vec<String> {
        lock(&self.peers).keys().cloned().collect()
    }

    fn get(&self, ip: &str) -> Option<Arc<Peer>> {
        lock(&self.peers).get(ip).cloned()
    }

    /// Asks another; what it answers goes to `waiting`, whoever can't be reached never answers.
    pub fn ask(&self, ip: &str, body: PeerRequest, waiting: &Waiting) {
        let Some(peer) = self.get(ip) else { return };
        if lock(&peer.stream).is_none() {
            return;
        }
        let id = self.asked.fetch_add(1, Ordering::Relaxed) + 1;
        {
            let mut all = lock(&peer.waiting);
            all.insert(id, waiting.clone());
            // Whoever asked long ago has given up.
            while all.len() > 4096 {
                all.pop_first();
            }
        }
        peer.write(&frame(&Envelope { id, body: Some(body) }));
    }

    pub fn tell(&self, ip: &str, body: PeerRequest) {
        if let Some(peer) = self.get(ip) {
            peer.write(&frame(&Envelope { id: 0, body: Some(body) }));
        }
    }
}

fn answer(port: &ControlPlane, stream: &Mutex<TcpStream>, packet: Envelope) {
    let Some(body) = packet.body else { return };
    let said = port.asked(body);
    if packet.id != 0 {
        let _ = lock(stream).write_all(&frame(&ResponseEnvelope { id: packet.id, body: said }));
    }
}

/// What waits for the disk must not hold up leases and news behind it.
fn slow(packet: &Envelope) -> bool {
    matches!(
        packet.body,
        Some(
            PeerRequest::Prepare(_)
                | PeerRequest::Accept(_)
                | PeerRequest::Whole(_)
                | PeerRequest::RangeRequest(_)
        )
    )
}

fn visit(port: &Arc<ControlPlane>, mut stream: TcpStream) -> std::io::Result<()> {
    tune(&stream);
    let out = Arc::new(Mutex::new(stream.try_clone()?));
    let (hand, handed) = std::sync::mpsc::channel::<Envelope>();
    let worker = (port.clone(), out.clone());
    let work = move || handed.into_iter().for_each(|packet| answer(&worker.0, &worker.1, packet));
    std::thread::Builder::new().name("ballots".to_owned()).stack_size(STACK).spawn(work)?;
    let (mut frames, mut piece) = (Frames::default(), vec![0u8; 16 << 10]);
    loop {
        let got = stream.read(&mut piece)?;
        if got == 0 {
            return Ok(());
        }
        frames.push(&piece[..got]);
        while let Some(packet) = frames.take::<Envelope>().map_err(std::io::Error::other)? {
            if slow(&packet) {
                let _ = hand.send(packet);
            } else {
                answer(port, &out, packet);
            }
        }
    }
}

/// Takes other members' connections.
pub fn serve(port: Arc<ControlPlane>, listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        let port = port.clone();
        let visit = move || drop(visit(&port, stream));
        let _ = std::thread::Builder::new().name("member".to_owned()).stack_size(STACK).spawn(visit);
    }
}
