//! The ways from callers (tasks and operators) to members: relays that can hold all bytes back, or reset connections.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

const PIECE_BYTES: usize = 16 << 10;

/// What a link does with its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LinkState {
    /// Nothing passes, ends of connections neither.
    held: bool,
    /// How far the end of a connection is behind the bytes that were held up before it.
    ends_behind: Duration,
    /// How often all connections were reset.
    resets: u64,
}

/// The way to one member.
#[derive(Debug)]
struct Link {
    state: watch::Sender<LinkState>,
}

/// The ways to all members. They end when this is dropped.
#[derive(Debug)]
pub(crate) struct Links {
    links: Vec<Link>,
    /// Where the way to a member begins, by the member's own address.
    begins: BTreeMap<String, String>,
    _relays: JoinSet<()>,
}

impl Links {
    /// Opens a way to each of the members.
    pub(crate) async fn open(members: &[String]) -> io::Result<Self> {
        let mut links = Vec::new();
        let mut begins = BTreeMap::new();
        let mut relays = JoinSet::new();
        for member in members {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            begins.insert(member.clone(), listener.local_addr()?.to_string());
            let (state, states) = watch::channel(LinkState::default());
            relays.spawn(relay_all(listener, member.clone(), states));
            links.push(Link { state });
        }
        Ok(Links {
            links,
            begins,
            _relays: relays,
        })
    }

    /// Where callers of a member connect.
    pub(crate) fn begin_of<'a>(&'a self, member: &'a str) -> &'a str {
        self.begins.get(member).map_or(member, String::as_str)
    }

    /// Holds everything back for a time; then it arrives, in order, the ends of connections so far behind.
    pub(crate) async fn hold(
        self: Arc<Self>,
        member: usize,
        lasts: Duration,
        ends_behind: Duration,
    ) {
        let state = &self.links[member].state;
        state.send_modify(|state| (state.held, state.ends_behind) = (true, ends_behind));
        sleep(lasts).await;
        state.send_modify(|state| state.held = false);
    }

    /// Resets all connections.
    pub(crate) fn reset(&self, member: usize) {
        self.links[member]
            .state
            .send_modify(|state| state.resets += 1);
    }
}

async fn relay_all(listener: TcpListener, member: String, states: watch::Receiver<LinkState>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((caller, _)) = accepted {
                    connections.spawn(relay(caller, member.clone(), states.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn passes(states: &mut watch::Receiver<LinkState>) {
    // The sender lives as long as all relays.
    let _ = states.wait_for(|state| !state.held).await;
}

/// Carries one connection until both sides have ended, or it is reset.
async fn relay(caller: TcpStream, member: String, mut states: watch::Receiver<LinkState>) {
    let resets = states.borrow().resets;
    let mut watched = states.clone();
    let carried = async {
        passes(&mut states).await;
        let member = TcpStream::connect(&member).await?;
        let (from_caller, to_caller) = caller.into_split();
        let (from_member, to_member) = member.into_split();
        tokio::try_join!(
            carry(from_caller, to_member, states.clone()),
            carry(from_member, to_caller, states.clone()),
        )?;
        Ok::<(), io::Error>(())
    };
    tokio::select! {
        _ = carried => {}
        _ = watched.wait_for(|state| state.resets != resets) => {}
    }
}

async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut states: watch::Receiver<LinkState>,
) -> io::Result<()> {
    let mut piece = vec![0u8; PIECE_BYTES];
    loop {
        let bytes = from.read(&mut piece).await?;
        let was_held = states.borrow().held;
        passes(&mut states).await;
        if bytes == 0 && was_held {
            let ends_behind = states.borrow().ends_behind;
            sleep(ends_behind).await;
        }
        if bytes == 0 {
            return to.shutdown().await;
        }
        to.write_all(&piece[..bytes]).await?;
    }
}
