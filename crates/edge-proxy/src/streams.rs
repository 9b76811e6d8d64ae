//! Streams to the members of the core: configuration, tasks and tables in, marks' answers and reports out.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use lynxmill_protocol::{
    EdgeReadiness, FrameDecoder, FromEdge, FromEdgeBody, Hello, TableAcknowledgement, TaskUpdate,
    ToEdge, ToEdgeBody, encode_frame,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep, timeout};

use crate::app::App;

/// Between tries to reach a member.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Reports go out this often, each is answered; a stream silent for so long is a dead one.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// The same while a rollout is in progress, which is judged by reports.
const ROLLOUT_REPORT_INTERVAL: Duration = Duration::from_millis(500);
const STREAM_TIMEOUT: Duration = Duration::from_millis(2600);

fn encode(edge: FromEdgeBody) -> Vec<u8> {
    encode_frame(&FromEdge { body: Some(edge) })
}

fn apply_tasks(app: &App, member: &str, tasks: &TaskUpdate) {
    let now = app.now();
    let mut load_balancer = app.load_balancer.borrow_mut();
    // A member that has just started tells what it knew before.
    let first = app.welcomed_by.borrow_mut().remove(member);
    if first && !tasks.is_complete {
        load_balancer.recall_tasks(now, member, &tasks.tasks);
    } else {
        load_balancer.update_tasks(now, member, &tasks.tasks);
    }
    let mut known = app.tasks_by_member.borrow_mut();
    if tasks.is_complete {
        known.insert(
            member.to_owned(),
            tasks.tasks.iter().map(|t| t.id.clone()).collect(),
        );
        let all: BTreeSet<&String> = known.values().flatten().collect();
        load_balancer.retain_members(|id| all.contains(&id.to_owned()));
    } else if let Some(ids) = known.get_mut(member) {
        ids.extend(tasks.tasks.iter().map(|t| t.id.clone()));
    }
    drop(load_balancer);
    app.table_changed.notify_waiters();
}

/// Takes a message; what is to be answered, and members that are news.
fn apply(app: &Rc<App>, member: &str, body: ToEdgeBody) -> (Option<FromEdgeBody>, Vec<String>) {
    match body {
        ToEdgeBody::EdgeWelcome(welcome) => return (None, welcome.members),
        ToEdgeBody::ConfigurationUpdate(update) => {
            let mut configuration = app.configuration.borrow_mut();
            let changed = update
                .items
                .iter()
                .filter(|item| configuration.merge(item))
                .count()
                > 0;
            // A configuration without an item is none yet.
            app.is_synchronized
                .set(app.is_synchronized.get() || update.is_complete);
            let whole = app.is_synchronized.get() && !configuration.items.is_empty();
            drop(configuration);
            if app.is_configured.replace(whole) != whole || changed {
                app.apply_configuration(update.is_complete);
            }
        }
        ToEdgeBody::TaskUpdate(tasks) => apply_tasks(app, member, &tasks),
        ToEdgeBody::ShardTableUpdate(table) => {
            let applied = app.load_balancer.borrow_mut().apply_shard_table(&table);
            app.table_changed.notify_waiters();
            if applied {
                app.reports
                    .borrow_mut()
                    .set_shard_owner(&table.service, member);
            }
            if applied && table.sequence > 0 {
                let (service, term, sequence) = (table.service, table.term, table.sequence);
                return (
                    Some(FromEdgeBody::TableAcknowledgement(TableAcknowledgement {
                        service,
                        term,
                        sequence,
                    })),
                    Vec::new(),
                );
            }
        }
        ToEdgeBody::EdgeList(fleet) => app.load_balancer.borrow_mut().set_edges(fleet),
        ToEdgeBody::ReportAcknowledgement(_) => {}
        ToEdgeBody::EvacuationNotice(notice) => {
            let mut load_balancer = app.load_balancer.borrow_mut();
            load_balancer.evacuation_requested(app.now(), &notice);
        }
    }
    (None, Vec::new())
}

async fn stream(
    app: &Rc<App>,
    member: &str,
    members: &std::cell::RefCell<BTreeSet<String>>,
) -> std::io::Result<()> {
    let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let port = app.settings.borrow().internal_port();
    let connecting = TcpStream::connect((member, port));
    let stream = timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| late())??;
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(Duration::from_secs(2)));
    let (mut read, mut write) = stream.into_split();
    let (out, mut outs) = tokio::sync::mpsc::unbounded_channel::<Vec<u8>>();
    let writer = spawn_local(async move {
        while let Some(bytes) = outs.recv().await {
            write.write_all(&bytes).await?;
        }
        Ok::<(), std::io::Error>(())
    });
    let hello = {
        let settings = app.settings.borrow();
        Hello {
            name: settings.node_name.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            front: settings.listen().front,
            incarnation: app.incarnation,
            reads_compressed: true,
            knows_versions: true,
        }
    };
    app.welcomed_by.borrow_mut().insert(member.to_owned());
    let _ = out.send(encode(FromEdgeBody::Hello(hello)));
    let mut told = app.is_ready();
    let _ = out.send(encode(FromEdgeBody::Readiness(EdgeReadiness {
        ready: told,
    })));
    let (mut frames, mut piece) = (FrameDecoder::default(), vec![0u8; 32 << 10]);
    let mut last_message = Instant::now();
    let mut tick = interval(Duration::from_millis(250));
    let ended = loop {
        if app.is_ready() != told {
            told = app.is_ready();
            let _ = out.send(encode(FromEdgeBody::Readiness(EdgeReadiness {
                ready: told,
            })));
        }
        tokio::select! {
            got = read.read(&mut piece) => match got {
                Ok(0) => break Ok(()),
                Err(error) => break Err(error),
                Ok(got) => {
                    last_message = Instant::now();
                    app.load_balancer.borrow_mut().member_heard(app.now());
                    frames.push(&piece[..got]);
                    loop {
                        let message = match frames.next_message::<ToEdge>() {
                            Ok(Some(message)) => message,
                            Ok(None) => break,
                            Err(error) => {
                                writer.abort();
                                return Err(std::io::Error::other(error));
                            }
                        };
                        let body = match message.into_body() {
                            Ok(Some(body)) => body,
                            Ok(None) => continue,
                            Err(error) => {
                                writer.abort();
                                return Err(std::io::Error::other(error));
                            }
                        };
                        let (answer, news) = apply(app, member, body);
                        members.borrow_mut().extend(news);
                        answer.into_iter().for_each(|edge| drop(out.send(encode(edge))));
                    }
                }
            },
            _ = app.readiness_changed.notified() => {}
            _ = tick.tick() => {
                if last_message.elapsed() > STREAM_TIMEOUT {
                    break Err(late());
                }
                if let Some(report) = due_report(app, member) {
                    let _ = out.send(encode(FromEdgeBody::LoadReport(report)));
                }
            }
        }
    };
    writer.abort();
    ended
}

/// The report that is due to a member, if one is.
fn due_report(app: &Rc<App>, member: &str) -> Option<lynxmill_protocol::LoadReport> {
    let interval = if app.load_balancer.borrow().has_rollouts() {
        ROLLOUT_REPORT_INTERVAL
    } else {
        REPORT_INTERVAL
    };
    app.reports.borrow_mut().due(app, member, interval)
}

async fn follow_member(
    app: Rc<App>,
    member: String,
    members: Rc<std::cell::RefCell<BTreeSet<String>>>,
) {
    let mut up = true;
    loop {
        let began = Instant::now();
        let ended = stream(&app, &member, &members).await;
        app.load_balancer.borrow_mut().member_lost(&member);
        if up || began.elapsed() > Duration::from_secs(1) {
            log::info!(
                "stream to {member} ended: {}",
                ended.err().map_or("closed".to_owned(), |e| e.to_string())
            );
        }
        up = false;
        sleep(RECONNECT_DELAY).await;
    }
}

/// Keeps a stream to each member that is known.
pub(crate) async fn keep_streams(app: Rc<App>) {
    let members = Rc::new(std::cell::RefCell::new(BTreeSet::new()));
    let mut followed: BTreeSet<String> = BTreeSet::new();
    loop {
        members
            .borrow_mut()
            .extend(app.settings.borrow().seed_ips());
        let new: Vec<String> = members.borrow().difference(&followed).cloned().collect();
        for member in new {
            followed.insert(member.clone());
            spawn_local(follow_member(app.clone(), member, members.clone()));
        }
        sleep(Duration::from_millis(100)).await;
    }
}
