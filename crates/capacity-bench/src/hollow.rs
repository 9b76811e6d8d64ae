//! The load generator: hollow edges that hold a stream to each member, report and answer marks, and hollow
//! tasks that beat, each over a connection of its own. All in one thread, on loopback, for a bounded time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lynxmill_protocol::{
    EdgeReadiness, FrameDecoder, FromEdge, FromEdgeBody, Hello, LoadReport, TableAcknowledgement,
    TaskObservation, ToEdge, ToEdgeBody, encode_frame,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, interval, sleep, timeout};

use crate::made;
use crate::members::{CONTROL, IPS, Membership, STREAMS, Used};

#[derive(Clone, Debug)]
pub struct Load {
    pub edges: usize,
    pub tasks: usize,
    pub services: usize,
    pub sharded: usize,
    pub routes: usize,
    pub rows: usize,
    pub seconds: f64,
}

const INTERVAL: Duration = Duration::from_millis(1_500);
const CALL: Duration = Duration::from_secs(1);
/// The members together may hold this much before all is ended.
const MOST_MB: f64 = 4_096.0;
/// The longest that all of it may take.
const LONGEST: Duration = Duration::from_secs(120);
const RISE: Duration = Duration::from_secs(20);
/// After all have come, before anything is measured.
const REST: Duration = Duration::from_secs(4);

#[derive(Clone, Default)]
struct Seen {
    bytes_in: u64,
    bytes_out: u64,
    /// Bytes in by kind of message: welcome, items, tasks, tables, fleet, answers.
    kinds: [u64; 6],
    joined: usize,
    dropped: u64,
    beats: u64,
    failed: u64,
    took_ms: Vec<f64>,
}

type Shared = Rc<RefCell<Seen>>;

fn kind(body: &ToEdgeBody) -> usize {
    match body {
        ToEdgeBody::EdgeWelcome(_) => 0,
        ToEdgeBody::ConfigurationUpdate(_) => 1,
        ToEdgeBody::TaskUpdate(_) => 2,
        ToEdgeBody::ShardTableUpdate(_) => 3,
        ToEdgeBody::EdgeList(_) => 4,
        ToEdgeBody::ReportAcknowledgement(_) => 5,
    }
}

/// Counts a message; what an edge says to it.
fn take(seen: &mut Seen, body: ToEdgeBody, length: usize, whole: &mut bool) -> Option<Vec<u8>> {
    seen.kinds[kind(&body)] += length as u64;
    match body {
        ToEdgeBody::ConfigurationUpdate(goods)
            if goods.is_complete && !*whole && !goods.items.is_empty() =>
        {
            *whole = true;
            seen.joined += 1;
            None
        }
        ToEdgeBody::ShardTableUpdate(table) if table.sequence > 0 => {
            let (service, term, sequence) = (table.service, table.term, table.sequence);
            let answer = say(FromEdgeBody::TableAcknowledgement(TableAcknowledgement {
                service,
                term,
                sequence,
            }));
            seen.bytes_out += answer.len() as u64;
            Some(answer)
        }
        _ => None,
    }
}

fn say(edge: FromEdgeBody) -> Vec<u8> {
    encode_frame(&FromEdge { body: Some(edge) })
}

async fn stream(number: usize, ip: &str, load: &Load, seen: &Shared) -> std::io::Result<()> {
    let mut stream = TcpStream::connect((ip, STREAMS)).await?;
    stream.set_nodelay(true)?;
    let zone = number % made::ZONES;
    let hello = Hello {
        name: made::edge_name(number),
        zone: made::zone(zone),
        region: made::region(zone),
        front: format!("10.1.{}.{}:8144", number / 250, number % 250),
        incarnation: number as u64 + 1,
    };
    stream.write_all(&say(FromEdgeBody::Hello(hello))).await?;
    stream
        .write_all(&say(FromEdgeBody::Readiness(EdgeReadiness { ready: true })))
        .await?;
    let row = |i: usize| {
        let id = made::id((number * 7 + i) % load.tasks.max(1));
        TaskObservation {
            id,
            attempts: 3,
            failures: 0,
            mean_latency_ms: 61.7,
            in_flight: 2,
        }
    };
    let report = LoadReport {
        interval_ms: 1_000,
        tasks: (0..load.rows).map(row).collect(),
        slices: Vec::new(),
    };
    let report = say(FromEdgeBody::LoadReport(report));
    let (mut frames, mut piece) = (FrameDecoder::default(), vec![0u8; 32 << 10]);
    sleep(Duration::from_millis(number as u64 * 37 % 1_000)).await;
    let (mut tick, mut whole) = (interval(Duration::from_secs(1)), false);
    loop {
        tokio::select! {
            got = stream.read(&mut piece) => {
                let got = got?;
                if got == 0 {
                    return Ok(());
                }
                frames.push(&piece[..got]);
                seen.borrow_mut().bytes_in += got as u64;
                let mut held = frames_len(&mut frames)?;
                while let Some((message, length)) = held.take() {
                    let Some(body) = message.body else { break };
                    let answer = take(&mut seen.borrow_mut(), body, length, &mut whole);
                    if let Some(answer) = answer {
                        stream.write_all(&answer).await?;
                    }
                    held = frames_len(&mut frames)?;
                }
            }
            _ = tick.tick() => {
                stream.write_all(&report).await?;
                seen.borrow_mut().bytes_out += report.len() as u64;
            }
        }
    }
}

/// The next whole message and its length on the wire.
fn frames_len(frames: &mut FrameDecoder) -> std::io::Result<Option<(ToEdge, usize)>> {
    let message = frames
        .next_message::<ToEdge>()
        .map_err(std::io::Error::other)?;
    Ok(message.map(|message| {
        let length = prost::Message::encoded_len(&message) + 4;
        (message, length)
    }))
}

async fn edge(number: usize, ip: &'static str, load: Rc<Load>, seen: Shared) {
    loop {
        let _ = stream(number, ip, &load, &seen).await;
        seen.borrow_mut().dropped += 1;
        sleep(Duration::from_millis(200)).await;
    }
}

/// Sends a call and reads its whole answer; its status.
async fn call(stream: &mut TcpStream, head: &str, body: &str) -> std::io::Result<u16> {
    let length = body.len();
    let whole = format!(
        "{head} HTTP/1.1\r\nHost: core\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(whole.as_bytes()).await?;
    let (mut got, mut piece) = (Vec::new(), [0u8; 4096]);
    let spoilt = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    loop {
        let read = stream.read(&mut piece).await?;
        if read == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        got.extend_from_slice(&piece[..read]);
        let Some(end) = got.windows(4).position(|w| w == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&got[..end]).to_ascii_lowercase();
        let field = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"));
        let length: usize = field
            .and_then(|v| v.trim().parse().ok())
            .ok_or_else(spoilt)?;
        if got.len() >= end + 4 + length {
            return head
                .split(' ')
                .nth(1)
                .and_then(|s| s.parse().ok())
                .ok_or_else(spoilt);
        }
    }
}

async fn task(number: usize, load: Rc<Load>, seen: Shared) {
    let (mut open, mut at) = (None, number % IPS.len());
    sleep(INTERVAL.mul_f64(number as f64 / load.tasks.max(1) as f64)).await;
    let mut tick = interval(INTERVAL);
    for seq in 1u64.. {
        tick.tick().await;
        let made = made::task(number, seq, load.services);
        let body = format!(
            "{{\"Address\":\"{}\",\"Info\":{{\"Service\":\"{}\",\"Version\":\"v1\",\"Zone\":\"{}\",\"Slots\":4}},\
             \"Status\":{{\"State\":\"ready\",\"CallSeq\":{seq},\"ColdLeftS\":0}}}}",
            made.address, made.service, made.zone
        );
        let head = format!("PUT /v1/instances/{}", made.id);
        let begun = Instant::now();
        let done = timeout(CALL, async {
            let mut stream = match open.take() {
                Some(stream) => stream,
                None => TcpStream::connect((IPS[at], CONTROL)).await?,
            };
            let status = call(&mut stream, &head, &body).await?;
            Ok::<_, std::io::Error>((stream, status))
        });
        let ended = done.await;
        let mut seen = seen.borrow_mut();
        match ended {
            Ok(Ok((stream, 200))) => {
                open = Some(stream);
                seen.beats += 1;
                seen.took_ms.push(begun.elapsed().as_secs_f64() * 1e3);
            }
            _ => {
                at = (at + 1) % IPS.len();
                seen.failed += 1;
            }
        }
    }
}

async fn configure(load: &Load) -> Result<(), String> {
    let mut configuration = lynxmill_configuration::Configuration::default();
    for i in 0..load.routes {
        configuration.merge(&made::route(i, 7));
    }
    // Routes name services from the whole range.
    for i in 0..load.services.max(made::SERVICES) {
        let sharded = i + load.sharded >= load.services && i < load.services;
        configuration.merge(&made::service(i, sharded));
    }
    let body = serde_json::json!({ "Upsert": configuration.read_back() }).to_string();
    let until = Instant::now() + RISE;
    let mut last = "no answer".to_owned();
    while Instant::now() < until {
        sleep(Duration::from_millis(200)).await;
        let Ok(mut stream) = TcpStream::connect((IPS[0], CONTROL)).await else {
            continue;
        };
        match timeout(
            Duration::from_secs(4),
            call(&mut stream, "PATCH /v1/configuration", &body),
        )
        .await
        {
            Ok(Ok(200)) => return Ok(()),
            Ok(Ok(status)) => last = format!("status {status}"),
            Ok(Err(fault)) => last = fault.to_string(),
            Err(_) => last = "four seconds of silence".to_owned(),
        }
    }
    Err(format!("the configuration was not taken: {last}"))
}

fn show(
    load: &Load,
    before: &[Used],
    after: &[Used],
    seen: &Seen,
    base: &Seen,
    over: f64,
    rise: f64,
) {
    let streams = (load.edges * IPS.len()).max(1) as f64;
    let Load {
        edges,
        tasks,
        services,
        sharded,
        routes,
        rows,
        ..
    } = load;
    println!(
        "hollow: {edges} edges, {tasks} tasks, {services} services ({sharded} sharded), {routes} routes,"
    );
    println!(
        "  {rows} rows a report, measured over {over:.1} s; all edges had all after {rise:.2} s"
    );
    for (i, (a, b)) in before.iter().zip(after).enumerate() {
        println!(
            "  member {i}: {:.4} cores, {:.1} MB, peak {:.1} MB, {} threads",
            (b.processor_s - a.processor_s) / over,
            b.memory_mb,
            b.peak_mb,
            b.threads
        );
    }
    let sum: f64 = before
        .iter()
        .zip(after)
        .map(|(a, b)| b.processor_s - a.processor_s)
        .sum();
    println!("  members together: {:.4} cores", sum / over);
    println!(
        "  a stream: {:.0} B/s to the edge, {:.0} B/s from it; dropped {}",
        (seen.bytes_in - base.bytes_in) as f64 / over / streams,
        (seen.bytes_out - base.bytes_out) as f64 / over / streams,
        seen.dropped
    );
    let names = ["welcome", "items", "tasks", "tables", "fleet", "answers"];
    let rates = names.iter().enumerate().map(|(i, name)| {
        let rate = (seen.kinds[i] - base.kinds[i]) as f64 / over / streams;
        format!("{name} {rate:.0}")
    });
    println!(
        "  B/s to an edge by kind: {}",
        rates.collect::<Vec<_>>().join(", ")
    );
    let whole = names.iter().enumerate().map(|(i, name)| {
        let bytes = base.kinds[i] as f64 / streams;
        format!("{name} {bytes:.0}")
    });
    println!(
        "  B a stream until then: {}",
        whole.collect::<Vec<_>>().join(", ")
    );
    let mut took = seen.took_ms[base.took_ms.len()..].to_vec();
    took.sort_by(f64::total_cmp);
    let at = |share: f64| {
        took.get((took.len() as f64 * share) as usize)
            .copied()
            .unwrap_or_default()
    };
    println!(
        "  beats: {:.0} a second, {} failed; ms: median {:.2}, 99 in 100 {:.2}, max {:.2}",
        (seen.beats - base.beats) as f64 / over,
        seen.failed - base.failed,
        at(0.5),
        at(0.99),
        took.last().copied().unwrap_or_default()
    );
}

async fn measure(load: &Load, members: &mut Membership) -> Result<(), String> {
    configure(load).await?;
    let (seen, shared, begun) = (Shared::default(), Rc::new(load.clone()), Instant::now());
    (0..load.tasks).for_each(|i| drop(spawn_local(task(i, shared.clone(), seen.clone()))));
    for i in 0..load.edges {
        IPS.iter()
            .for_each(|ip| drop(spawn_local(edge(i, ip, shared.clone(), seen.clone()))));
    }
    let all = load.edges * IPS.len();
    while seen.borrow().joined < all && begun.elapsed() < RISE {
        sleep(Duration::from_millis(100)).await;
        let memory_mb: f64 = members.used()?.iter().map(|used| used.memory_mb).sum();
        if memory_mb > MOST_MB {
            return Err(format!("given up: the members hold {memory_mb:.0} MB"));
        }
    }
    let rise = begun.elapsed().as_secs_f64();
    let joined = seen.borrow().joined;
    if joined < all {
        println!("hollow: only {joined} of {all} streams have had all after {rise:.1} s");
    }
    sleep(REST).await;
    let (before, at) = (members.used()?, Instant::now());
    let base = seen.borrow().clone();
    sleep(Duration::from_secs_f64(load.seconds)).await;
    let (after, over) = (members.used()?, at.elapsed().as_secs_f64());
    show(load, &before, &after, &seen.borrow(), &base, over, rise);
    Ok(())
}

pub fn run(load: &Load) -> Result<(), String> {
    let mut members = Membership::start()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let local = LocalSet::new();
    let done = runtime.block_on(local.run_until(async {
        // Children are ended on the way out, so an order to end must not cut that short.
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        tokio::select! {
            done = measure(load, &mut members) => done,
            _ = term.recv() => Err("told to end".to_owned()),
            _ = sleep(LONGEST) => Err("given up after two minutes".to_owned()),
        }
    }));
    done.map_err(|fault| format!("{fault}\n{}", members.logs()))
}
