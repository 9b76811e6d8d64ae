//! What a forwarder keeps up to date: its tables from the registry, where servers are from discovery; and what it
//! tells assigners of what it met.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use lynxmill_registry::layout::Layout;
use lynxmill_registry::{Backoff, Member, ShardOwnership, Tables, WatchFollower, Writes};
use lynxmill_registry_transport::{Registry, Runner};
use lynxmill_time::TimeDelta;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::app::App;

/// The longest that discovery may hold a call, and what it may take beside that.
const HOLD: Duration = Duration::from_secs(20);
const BESIDE: Duration = Duration::from_secs(2);
const LONGEST: usize = 16 << 20;

/// Follows the tables; whoever waits for a change of them is woken by each.
pub(crate) fn tables(app: &Rc<App>) {
    let of = &app.wish.store;
    let layout = Layout::new(&of.prefix);
    let registry = Registry::new(of.address, of.protocol.protocol(layout.prefix()));
    let look = TimeDelta::from_secs(of.look_ms as f64 / 1e3);
    let seed = app
        .wish
        .seed()
        .wrapping_mul(65_536)
        .wrapping_add(app.wish.number.into());
    let backoff = |turn| Backoff::new(look.times(0.1), look.times(4.0), seed.wrapping_add(turn));
    let follow = WatchFollower::new(
        registry.protocol().style(),
        layout.prefix(),
        look,
        backoff(1),
    );
    let tables = Tables::new(layout.clone(), app.terms.lease);
    // Presence and the last mark's answer: no more ever waits.
    let writes = Writes::new(8, look.times(0.1), backoff(2));
    let custody = ShardOwnership::new(&app.wish.name, of.lease_s, app.terms.lease, backoff(3));
    let member = Member::new(app.wish.number, layout, follow, tables, writes, custody);
    let (clock, hears) = (app.clock, Rc::downgrade(app));
    let hear = move |()| {
        if let Some(app) = hears.upgrade() {
            app.changed.notify_waiters();
        }
    };
    *app.member.borrow_mut() = Some(Runner::start(member, registry, move || clock.now(), hear));
}

/// Asks discovery where servers are, and again once something has changed.
pub(crate) async fn book(app: Rc<App>) {
    let client = Client::builder()
        .disable_timeout()
        .disable_redirects()
        .finish();
    let mut pause = Duration::from_millis(50);
    loop {
        let index = app.book.borrow().index();
        let watch = index
            .map(|index| format!("?from={index}&hold_ms={}", HOLD.as_millis()))
            .unwrap_or_default();
        let call = client
            .get(format!(
                "http://{}/catalog/members{watch}",
                app.wish.discovery
            ))
            .force_close();
        let asked = timeout(HOLD + BESIDE, async {
            let mut answer = call
                .send()
                .await
                .map_err(|e| ("unreachable", e.to_string()))?;
            if !answer.status().is_success() {
                return Err(("turned-back", answer.status().to_string()));
            }
            answer
                .body()
                .limit(LONGEST)
                .await
                .map_err(|e| ("broken", e.to_string()))
        });
        let told = match asked.await {
            Ok(Ok(body)) => app
                .book
                .borrow_mut()
                .take(&body)
                .map_err(|e| ("unreadable", e)),
            Ok(Err(failed)) => Err(failed),
            Err(_) => Err(("no-answer", String::new())),
        };
        match told {
            Ok(()) => {
                pause = Duration::from_millis(50);
                app.changed.notify_waiters();
            }
            Err((reason, detail)) => {
                log::info!(reason; "list {} ended reason={reason} {detail}", app.wish.discovery);
                app.count(reason);
                sleep(pause).await;
                pause = (pause * 2).min(Duration::from_secs(2));
            }
        }
    }
}

/// A message as assigners read it: an array of bulk strings.
fn spelled(words: &[String], to: &mut Vec<u8>) {
    to.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        to.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
}

/// Tells one assigner what was met for its slices, at each interval; what could not be told is of yesterday.
async fn tell(
    app: &Rc<App>,
    at: SocketAddr,
    messages: &[Vec<String>],
    held: &mut Option<TcpStream>,
) -> Result<(), String> {
    let patience = Duration::from_secs_f64(app.terms.interval.secs().max(0.05));
    let mut bytes = Vec::new();
    if held.is_none() {
        let stream = timeout(patience, TcpStream::connect(at))
            .await
            .map_err(|e| e.to_string())?;
        *held = Some(stream.map_err(|e| e.to_string())?);
        spelled(
            &["telemetry", "zone", app.wish.zone.as_str()].map(str::to_owned),
            &mut bytes,
        );
    }
    messages.iter().for_each(|words| spelled(words, &mut bytes));
    let Some(stream) = held else { return Ok(()) };
    let wrote = timeout(patience, stream.write_all(&bytes)).await;
    match wrote {
        Ok(Ok(())) => Ok(()),
        Ok(Err(e)) => Err(e.to_string()),
        Err(e) => Err(e.to_string()),
    }
}

pub(crate) async fn reports(app: Rc<App>) {
    let mut held: Vec<Option<TcpStream>> = app.wish.collectors.iter().map(|_| None).collect();
    loop {
        sleep(Duration::from_secs_f64(app.terms.interval.secs())).await;
        let now = app.now();
        let sums = app.sums.borrow_mut().take(now);
        for (collector, held) in app.wish.collectors.iter().zip(&mut held) {
            let none = Vec::new();
            let messages = sums.get(&collector.assigner).unwrap_or(&none);
            if let Err(detail) = tell(&app, collector.address, messages, held).await {
                if held.take().is_some() {
                    log::info!(
                        "collector {} ended reason=broken {detail}",
                        collector.address
                    );
                }
                app.count("collector-lost");
            }
        }
    }
}
