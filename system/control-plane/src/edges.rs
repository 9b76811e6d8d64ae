//! Edges' streams: who is there, what goes out to them, what they say.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use lynxmill_protocol::{
    Answered, ConfigurationUpdate, Edge, EdgeAt, EdgeSays, EdgeWelcome, Fleet, Frames, Hello, Tasks, ToEdge,
    ToEdgeBody, frame,
};

use crate::port::{ControlPlane, lock};

const WRITE: Duration = Duration::from_millis(1_500);
/// Edges report once a second; a stream on which nothing came for so long is a dead one.
const SILENT: Duration = Duration::from_millis(2_600);
/// Bytes that may wait for an edge that reads slowly, before it has to begin anew.
const BACKLOG: usize = 8 << 20;
const STACK: usize = 192 << 10;

type Bytes = Arc<Vec<u8>>;

pub struct EdgeStream {
    pub hello: Hello,
    pub ready: bool,
    number: u64,
    out: Sender<Bytes>,
    waiting: Arc<AtomicUsize>,
    stream: TcpStream,
}

impl EdgeStream {
    fn send(&self, bytes: Bytes) {
        if self.waiting.fetch_add(bytes.len(), Ordering::Relaxed) > BACKLOG {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
        let _ = self.out.send(bytes);
    }
}

#[derive(Default)]
pub struct Edges {
    pub streams: BTreeMap<String, EdgeStream>,
    last: u64,
    told: Option<Fleet>,
    /// Bytes that went out, by purpose.
    pub sent: BTreeMap<&'static str, u64>,
}

fn purpose(body: &ToEdgeBody) -> &'static str {
    match body {
        ToEdgeBody::EdgeWelcome(_) => "bytes-welcome",
        ToEdgeBody::ConfigurationUpdate(_) => "bytes-goods",
        ToEdgeBody::Tasks(_) => "bytes-tasks",
        ToEdgeBody::Table(_) => "bytes-table",
        ToEdgeBody::Fleet(_) => "bytes-fleet",
        ToEdgeBody::Answered(_) => "bytes-answered",
    }
}

impl Edges {
    /// A message as bytes, counted for so many edges.
    fn message(&mut self, body: ToEdgeBody, edges: usize) -> Bytes {
        let purpose = purpose(&body);
        let bytes = Arc::new(frame(&ToEdge { body: Some(body) }));
        *self.sent.entry(purpose).or_default() += (bytes.len() * edges) as u64;
        bytes
    }

    /// To all edges, made into bytes once.
    pub fn push(&mut self, body: ToEdgeBody) {
        if self.streams.is_empty() {
            return;
        }
        let bytes = self.message(body, self.streams.len());
        self.streams.values().for_each(|edge| edge.send(bytes.clone()));
    }

    fn fleet(&self) -> Fleet {
        let edge = |e: &EdgeStream| EdgeAt { name: e.hello.name.clone(), zone: e.hello.zone.clone() };
        Fleet { edges: self.streams.values().map(edge).collect() }
    }

    /// Tells all which edges there are, if that is news.
    pub fn tell_fleet(&mut self) {
        let fleet = self.fleet();
        if self.told.as_ref() != Some(&fleet) {
            self.push(ToEdgeBody::Fleet(fleet.clone()));
            self.told = Some(fleet);
        }
    }
}

fn write(mut stream: TcpStream, outs: Receiver<Bytes>, waiting: Arc<AtomicUsize>) {
    while let Ok(first) = outs.recv() {
        // What waits already goes out in one piece.
        let mut bytes = first.to_vec();
        while bytes.len() < 64 << 10
            && let Ok(more) = outs.try_recv()
        {
            bytes.extend_from_slice(&more);
        }
        waiting.fetch_sub(bytes.len(), Ordering::Relaxed);
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

impl ControlPlane {
    /// An edge's first word: all that it needs to begin with.
    fn join(&self, hello: Hello, stream: &TcpStream) -> std::io::Result<u64> {
        let (out, outs) = channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        let (other, counts) = (stream.try_clone()?, waiting.clone());
        std::thread::Builder::new()
            .name("to-edge".to_owned())
            .stack_size(STACK)
            .spawn(move || write(other, outs, counts))?;
        let now = self.now();
        let mut plans = lock(&self.plans);
        let mut edges = lock(&self.edges);
        edges.last += 1;
        let number = edges.last;
        let stream = stream.try_clone()?;
        let edge = EdgeStream { hello: hello.clone(), ready: false, number, out, waiting, stream };
        let (items, synchronized, members) = {
            let core = lock(&self.core);
            let items: Vec<_> = core.configuration.items.values().cloned().collect();
            (items, core.synchronized, core.acceptor.members.ips.clone())
        };
        edge.send(edges.message(
            ToEdgeBody::EdgeWelcome(EdgeWelcome { name: self.local.node_name.clone(), members }),
            1,
        ));
        {
            let yard = lock(&self.yard);
            let tasks = yard.all().map(|known| known.told(now)).collect();
            edge.send(edges.message(ToEdgeBody::Tasks(Tasks { tasks, whole: yard.grown(now) }), 1));
        }
        for custody in plans.values_mut() {
            if let Some(plan) = custody.plan.as_mut() {
                plan.edge_joined(&hello.name);
                edge.send(edges.message(ToEdgeBody::Table(plan.whole_table()), 1));
            }
        }
        if synchronized {
            edge.send(
                edges.message(ToEdgeBody::ConfigurationUpdate(ConfigurationUpdate { items, whole: true }), 1),
            );
        }
        log::info!("edge {} joined", hello.name);
        if let Some(old) = edges.streams.insert(hello.name, edge) {
            let _ = old.stream.shutdown(Shutdown::Both);
        }
        // Who the edges are is told by the tick: where all join at once, once.
        edges.told = None;
        Ok(number)
    }

    fn part(&self, name: &str, number: u64) {
        let mut plans = lock(&self.plans);
        let mut edges = lock(&self.edges);
        if edges.streams.get(name).is_none_or(|edge| edge.number != number) {
            return;
        }
        edges.streams.remove(name);
        log::info!("edge {name} parted");
        plans.values_mut().filter_map(|c| c.plan.as_mut()).for_each(|plan| plan.edge_parted(name));
    }

    fn edge_says(&self, name: &str, number: u64, body: Edge) {
        match body {
            Edge::Hello(_) => {}
            Edge::Ready(ready) => {
                if let Some(edge) = lock(&self.edges).streams.get_mut(name).filter(|e| e.number == number) {
                    edge.ready = ready.ready;
                }
            }
            Edge::Answer(answer) => {
                if let Some(custody) = lock(&self.plans).get_mut(&answer.service)
                    && let Some(plan) = custody.plan.as_mut()
                {
                    plan.edge_answered(name, answer.term, answer.mark);
                }
            }
            Edge::Report(report) => {
                let plans = &mut *lock(&self.plans);
                plans.values_mut().filter_map(|c| c.plan.as_mut()).for_each(|plan| plan.report(&report));
                let mut edges = lock(&self.edges);
                let bytes = edges.message(ToEdgeBody::Answered(Answered {}), 1);
                edges.streams.get(name).into_iter().for_each(|edge| edge.send(bytes.clone()));
            }
        }
    }
}

fn visit(port: &ControlPlane, mut stream: TcpStream) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE));
    let _ = stream.set_read_timeout(Some(SILENT));
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(WRITE));
    let (mut frames, mut piece) = (Frames::default(), vec![0u8; 8 << 10]);
    let mut joined: Option<(String, u64)> = None;
    let ended = loop {
        match stream.read(&mut piece) {
            Ok(0) => break Ok(()),
            Err(fault) => break Err(fault),
            Ok(got) => frames.push(&piece[..got]),
        }
        let step = loop {
            let body = match frames.take::<EdgeSays>() {
                Ok(None) => break Ok(()),
                Err(fault) => break Err(std::io::Error::other(fault)),
                Ok(Some(says)) => says.body,
            };
            match (body, &joined) {
                (Some(Edge::Hello(hello)), None) => match port.join(hello.clone(), &stream) {
                    Ok(number) => joined = Some((hello.name, number)),
                    Err(fault) => break Err(fault),
                },
                (Some(body), Some((name, number))) => port.edge_says(name, *number, body),
                _ => {}
            }
        };
        if step.is_err() {
            break step;
        }
    };
    let _ = stream.shutdown(Shutdown::Both);
    if let Some((name, number)) = joined {
        port.part(&name, number);
    }
    ended
}

/// Takes edges' streams.
pub fn serve(port: Arc<ControlPlane>, listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        let port = port.clone();
        let visit = move || drop(visit(&port, stream));
        let _ = std::thread::Builder::new().name("edge".to_owned()).stack_size(STACK).spawn(visit);
    }
}
