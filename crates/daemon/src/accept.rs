//! The assigner's address: who connects, told apart by the first byte, and what becomes of each connection.

use std::rc::Rc;
use std::time::Duration;

use actix_codec::Framed;
use actix_rt::net::TcpStream;
use actix_rt::time::{Instant, sleep_until, timeout};
use actix_service::Service;
use futures_util::{SinkExt, StreamExt};
use lynxmill_assigner_state::{Event, Message};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use crate::close::{Reason, ended};
use crate::hub::Hub;
use crate::resp::{HeartbeatReply, ProtocolError, Resp};

/// From then on, says the protocol, a connection that has not joined may be closed.
const JOINING: Duration = Duration::from_secs(1);
/// Within this a connection is owed its end that sends what never becomes whole, or doesn't read its answers.
const PATIENCE: Duration = Duration::from_secs(3);

pub(crate) async fn serve<W: Service<TcpStream>>(stream: TcpStream, hub: Rc<Hub>, web: Rc<W>) {
    let deadline = Instant::now() + JOINING;
    let address = stream.peer_addr().ok();
    let peer = address.map_or_else(|| "?".to_owned(), |peer| peer.to_string());
    let (id, mut closed) = hub.open(address);
    let mut first = [0];
    let first = tokio::select! {
        peeked = timeout_at(deadline, stream.peek(&mut first)) => match peeked {
            Ok(Ok(0)) => Err(Reason::PeerClosed),
            Ok(Ok(_)) => Ok(first[0]),
            Ok(Err(_)) => Err(Reason::PeerReset),
            Err(_) => Err(Reason::Silent),
        },
        reason = &mut closed => Err(reason.unwrap_or(Reason::PeerClosed)),
    };
    let (reason, detail) = match first {
        Err(reason) => (reason, String::new()),
        // HTTP's methods are in capitals; the codec tells what else is wrong.
        Ok(b'A'..=b'Z') => tokio::select! {
            done = timeout_at(deadline, web.call(stream)) => match done {
                Ok(Ok(_)) => (Reason::HttpDone, String::new()),
                Ok(Err(_)) => (Reason::BadFrame, "http".to_owned()),
                Err(_) => (Reason::Silent, "http".to_owned()),
            },
            reason = &mut closed => (reason.unwrap_or(Reason::PeerClosed), "http".to_owned()),
        },
        Ok(_) => talk(stream, &hub, id, closed, deadline).await,
    };
    hub.closed(id);
    ended("connection", peer, reason, detail);
}

async fn talk(
    stream: TcpStream,
    hub: &Rc<Hub>,
    id: u64,
    mut closed: oneshot::Receiver<Reason>,
    mut deadline: Instant,
) -> (Reason, String) {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, Resp::new(hub.room()));
    let mut zone = None;
    let told = |zone: &Option<String>| {
        zone.as_ref()
            .map(|z| format!("zone={z}"))
            .unwrap_or_default()
    };
    // What may end a stranger at its deadline, and whether a joined one had a message begun at the last look.
    let (mut late, mut begun) = (Reason::Silent, false);
    loop {
        let next = tokio::select! {
            biased;
            reason = &mut closed => return (reason.unwrap_or(Reason::PeerClosed), told(&zone)),
            next = framed.next() => next,
            () = sleep_until(deadline) => {
                if zone.is_none() {
                    return (late, String::new());
                }
                // Guards against bytes that drip: only whole messages count. One that has joined may be
                // quiet.
                if begun {
                    return (Reason::Unfinished, told(&zone));
                }
                begun = framed.codec_ref().begun();
                deadline = Instant::now() + PATIENCE / 2;
                continue;
            }
        };
        let message = match next {
            None => return (Reason::PeerClosed, told(&zone)),
            Some(Ok(message)) => message,
            Some(Err(ProtocolError::Bad(reason, detail))) => return (reason, detail),
            Some(Err(ProtocolError::Io(e))) => {
                return (Reason::PeerReset, format!("{} {e}", told(&zone)));
            }
        };
        begun = false;
        match &message {
            Message::Heartbeat => match timeout(PATIENCE, framed.send(HeartbeatReply)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return (Reason::PeerReset, told(&zone)),
                Err(_) => return (Reason::Unread, told(&zone)),
            },
            Message::Zone(name) => zone = Some(name.clone()),
            _ => {}
        }
        hub.tell(Event::Said(id, message));
        // Guards against strangers that ask for signs of life without end, or hold on after one.
        late = Reason::NotJoined;
        if zone.is_none() && Instant::now() >= deadline {
            return (late, String::new());
        }
    }
}
