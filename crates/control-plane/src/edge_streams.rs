//! Streams of edges: their messages are read, and what the node sends them is made into bytes once and
//! queued.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lynxmill_control_node::{Input, StreamId};
use lynxmill_protocol::{FrameDecoder, FromEdge, FromEdgeBody, ToEdge, ToEdgeBody, encode_frame};

use crate::host::{Host, lock};
use crate::outbox::Outbox;

const WRITE: Duration = Duration::from_millis(1_500);
/// Edges report once a second; a stream on which nothing came for so long is a dead one.
const SILENT: Duration = Duration::from_millis(2_600);
/// Bytes that may wait for an edge that reads slowly, before it has to begin anew.
const BACKLOG: usize = 8 << 20;
const STACK: usize = 192 << 10;

/// An edge's stream.
struct EdgeOutbox {
    outbox: Outbox,
    /// Its first message said so.
    reads_compressed: bool,
}

#[derive(Default)]
pub(crate) struct EdgeStreams {
    open: Mutex<BTreeMap<StreamId, EdgeOutbox>>,
    /// Bytes that went out, by purpose.
    sent: Mutex<BTreeMap<&'static str, u64>>,
}

fn purpose(body: &ToEdgeBody) -> &'static str {
    match body {
        ToEdgeBody::EdgeWelcome(_) => "bytes-welcome",
        ToEdgeBody::ConfigurationUpdate(_) => "bytes-configuration",
        ToEdgeBody::TaskUpdate(_) => "bytes-tasks",
        ToEdgeBody::ShardTableUpdate(_) => "bytes-shard-table",
        ToEdgeBody::EdgeList(_) => "bytes-edge-list",
        ToEdgeBody::ReportAcknowledgement(_) => "bytes-report-acknowledgement",
        ToEdgeBody::EvacuationNotice(_) => "bytes-evacuation-notice",
    }
}

/// The frame of a message in its compressed form, or as it is where that saves nothing.
fn compress(message: &ToEdge, plain: &Arc<Vec<u8>>) -> Arc<Vec<u8>> {
    message
        .compressed()
        .map_or_else(|| plain.clone(), |short| Arc::new(encode_frame(&short)))
}

impl EdgeStreams {
    pub(crate) fn send(&self, streams: &[StreamId], body: ToEdgeBody) {
        let purpose = purpose(&body);
        let message = ToEdge::plain(body);
        let plain = Arc::new(encode_frame(&message));
        let mut sent = 0;
        let mut compressed = None;
        let open = lock(&self.open);
        for edge in streams.iter().filter_map(|stream| open.get(stream)) {
            let bytes = if edge.reads_compressed {
                compressed.get_or_insert_with(|| compress(&message, &plain))
            } else {
                &plain
            };
            sent += bytes.len() as u64;
            edge.outbox.send(bytes.clone());
        }
        drop(open);
        *lock(&self.sent).entry(purpose).or_default() += sent;
    }

    /// An edge's first message has come.
    fn greeted(&self, stream: StreamId, reads_compressed: bool) {
        if let Some(edge) = lock(&self.open).get_mut(&stream) {
            edge.reads_compressed = reads_compressed;
        }
    }

    pub(crate) fn close(&self, stream: StreamId) {
        if let Some(edge) = lock(&self.open).get(&stream) {
            edge.outbox.close();
        }
    }

    /// Streams that are open.
    pub(crate) fn count(&self) -> usize {
        lock(&self.open).len()
    }

    pub(crate) fn bytes_sent(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.sent).clone()
    }
}

/// Takes edges' streams.
pub(crate) fn serve(host: &Arc<Host>, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        let host = host.clone();
        let thread = std::thread::Builder::new()
            .name("edge".to_owned())
            .stack_size(STACK);
        let _ = thread.spawn(move || drop(visit(&host, stream)));
    }
}

fn visit(host: &Arc<Host>, stream: TcpStream) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE));
    let _ = stream.set_read_timeout(Some(SILENT));
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(WRITE));
    let id = StreamId(host.next_number());
    let stream = Arc::new(stream);
    let outbox = Outbox::new(stream.clone(), "to-edge", BACKLOG)?;
    let edge = EdgeOutbox {
        outbox,
        reads_compressed: false,
    };
    lock(&host.edges.open).insert(id, edge);
    let ended = read_messages(host, id, &stream);
    let _ = stream.shutdown(Shutdown::Both);
    lock(&host.edges.open).remove(&id);
    host.step(Input::EdgeClosed { stream: id });
    ended
}

fn read_messages(host: &Arc<Host>, id: StreamId, mut stream: &TcpStream) -> std::io::Result<()> {
    let (mut frames, mut piece) = (FrameDecoder::default(), vec![0u8; 8 << 10]);
    loop {
        let got = stream.read(&mut piece)?;
        if got == 0 {
            return Ok(());
        }
        frames.push(&piece[..got]);
        while let Some(says) = frames
            .next_message::<FromEdge>()
            .map_err(std::io::Error::other)?
        {
            if let Some(message) = says.body {
                if let FromEdgeBody::Hello(hello) = &message {
                    host.edges.greeted(id, hello.reads_compressed);
                }
                host.step(Input::Edge {
                    stream: id,
                    message,
                });
            }
        }
    }
}
