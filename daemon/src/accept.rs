//! The assigner's address: who connects, told apart by the first byte, and what becomes of each connection.

use std::rc::Rc;
use std::time::Duration;

use actix_codec::Framed;
use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use actix_service::Service;
use futures_util::{SinkExt, StreamExt};
use tokio::sync::oneshot;

use crate::close::{Reason, ended};
use crate::hub::Hub;
use crate::reduce::Event;
use crate::resp::{Alive, Fault, Message, Resp};

/// How long a stranger may take to say something whole, and anyone to read an answer of a few bytes.
const PATIENCE: Duration = Duration::from_secs(10);

pub async fn serve<W: Service<TcpStream>>(stream: TcpStream, hub: Rc<Hub>, web: Rc<W>) {
    let peer = stream.peer_addr().map_or_else(|_| "?".to_owned(), |peer| peer.to_string());
    let (id, mut closed) = hub.open();
    let mut first = [0];
    let first = tokio::select! {
        peeked = timeout(PATIENCE, stream.peek(&mut first)) => match peeked {
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
        Ok(b'A'..=b'Z') => match timeout(PATIENCE, web.call(stream)).await {
            Ok(Ok(_)) => (Reason::HttpDone, String::new()),
            Ok(Err(_)) => (Reason::BadFrame, "http".to_owned()),
            Err(_) => (Reason::Silent, "http".to_owned()),
        },
        Ok(_) => talk(stream, &hub, id, closed).await,
    };
    hub.closed(id);
    ended("connection", peer, reason, detail);
}

async fn talk(
    stream: TcpStream,
    hub: &Rc<Hub>,
    id: u64,
    mut closed: oneshot::Receiver<Reason>,
) -> (Reason, String) {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, Resp::new(hub.room()));
    let mut zone = None;
    let told = |zone: &Option<String>| zone.as_ref().map(|z| format!("zone={z}")).unwrap_or_default();
    let mut patience = PATIENCE;
    loop {
        let next = tokio::select! {
            next = timeout(patience, framed.next()) => next,
            reason = &mut closed => return (reason.unwrap_or(Reason::PeerClosed), told(&zone)),
        };
        let message = match next {
            Err(_) => return (Reason::Silent, told(&zone)),
            Ok(None) => return (Reason::PeerClosed, told(&zone)),
            Ok(Some(Ok(message))) => message,
            Ok(Some(Err(Fault::Bad(reason, detail)))) => return (reason, detail),
            Ok(Some(Err(Fault::Io(e)))) => return (Reason::PeerReset, format!("{} {e}", told(&zone))),
        };
        // One that has spoken may be quiet: a collector has nothing to say while nothing happens.
        patience = Duration::from_secs(u32::MAX.into());
        match &message {
            Message::Heartbeat => match timeout(PATIENCE, framed.send(Alive)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return (Reason::PeerReset, told(&zone)),
                Err(_) => return (Reason::Unread, told(&zone)),
            },
            Message::Zone(name) => zone = Some(name.clone()),
            _ => {}
        }
        hub.tell(Event::Said(id, message));
    }
}
