//! Twenty members on loopback, some of which lie, repeat, fall silent or are slow.

use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use lynxmill_membership::{
    Body, Charge, Config, Datagram, Evidence, Identity, KeyRing, Node, Payload, Row, SecretKey,
    Signed, State, Transport, TrustStore, VERSION, encode,
};
use lynxmill_membership_transport::{
    OpenSockets, Runner, TransportEvent, TransportOptions, TrustedKeys, fresh, read_secret,
    write_secret,
};
use lynxmill_time::Timestamp;

const PERIOD_MS: u64 = 200;

/// A folder of this test's own, gone with it.
struct Folder(PathBuf);

impl Folder {
    fn new(of: &str) -> Self {
        let path = std::env::temp_dir().join(format!("lynxmill-{of}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn name(of: usize) -> String {
    format!("m{of:02}")
}

/// Keys for so many, and a trust file that knows all.
fn keys(folder: &Path, count: usize) -> (PathBuf, Vec<SecretKey>) {
    let trust = folder.join("trust");
    let mut trusted = TrustedKeys::open_or_new(&trust).expect("none yet");
    let secrets: Vec<SecretKey> = (0..count)
        .map(|of| {
            let secret = fresh().expect("chance");
            write_secret(&folder.join(name(of)), &secret).expect("written");
            assert!(trusted.add(&name(of), secret.public()));
            secret
        })
        .collect();
    trusted.write(&trust).expect("written");
    (trust, secrets)
}

fn wish(folder: &Path, trust: &Path, of: usize, seeds: Vec<SocketAddr>) -> TransportOptions {
    TransportOptions {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        seeds,
        secret: folder.join(name(of)),
        trust: trust.to_owned(),
        period_ms: PERIOD_MS,
        timeout_ms: 80,
        exchange_s: 6.0,
        evidence_s: 4.0,
        bytes_per_s: 60_000.0,
        messages_per_s: 120.0,
        intake_per_s: 1200.0,
        slices: 0,
        vote_s: 3.0,
    }
}

type Heard = Rc<RefCell<Vec<(Duration, usize, TransportEvent)>>>;

fn start(wish: TransportOptions, of: usize, begun: Instant, heard: &Heard) -> Rc<Runner> {
    let opened = OpenSockets::new(wish, &name(of)).expect("opened");
    let heard = heard.clone();
    let clock = move || Timestamp::from_secs(begun.elapsed().as_secs_f64());
    let tell = move |told| heard.borrow_mut().push((begun.elapsed(), of, told));
    Runner::start(opened, of as u64, clock, tell).expect("started")
}

async fn until(what: &str, most: f64, holds: impl Fn() -> bool) -> f64 {
    let begun = Instant::now();
    while !holds() {
        assert!(
            begun.elapsed().as_secs_f64() < most,
            "{what}: not within {most} s"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    begun.elapsed().as_secs_f64()
}

fn message(from: &str, to: &str, life: u64, number: u64, with: &KeyRing, body: &Body) -> Vec<u8> {
    let mut datagram = Datagram {
        version: VERSION,
        from: from.into(),
        to: to.into(),
        key: with.key(),
        life,
        number,
        body: encode(body),
        signature: Vec::new(),
    };
    datagram.signature = with.sign(1, &datagram.signed_text());
    encode(&datagram)
}

/// A member whose every answer takes its time, as on a machine without a core to spare.
fn slow(
    of: usize,
    secret: SecretKey,
    trust: TrustStore,
    seed: SocketAddr,
    begun: Instant,
) -> JoinHandle<()> {
    actix_rt::spawn(async move {
        let now = move || Timestamp::from_secs(begun.elapsed().as_secs_f64());
        let udp = tokio::net::UdpSocket::bind("127.0.0.1:0")
            .await
            .expect("bound");
        let at = udp.local_addr().expect("an address");
        let (terms, keys) = (
            Config {
                period: lynxmill_time::TimeDelta::from_secs(0.2),
                ..Config::default()
            },
            KeyRing { secret, trust },
        );
        let mut node = Node::new(&name(of), at, 1, terms, keys, 99, now());
        node.swim.join(&[seed]);
        let mut bytes = vec![0; 65_536];
        loop {
            let mut out = Vec::new();
            let came =
                tokio::time::timeout(Duration::from_millis(50), udp.recv_from(&mut bytes)).await;
            if let Ok(Ok((length, from))) = came {
                actix_rt::time::sleep(Duration::from_millis(60)).await;
                let _ = node.heard(now(), from, Transport::Datagram, &bytes[..length], &mut out);
            }
            node.tick(now(), &mut out);
            for out in out {
                if out.road == Transport::Datagram {
                    let _ = udp.send_to(&out.bytes, out.to).await;
                    continue;
                }
                use tokio::io::{AsyncReadExt, AsyncWriteExt};
                let talk = async {
                    let mut stream = tokio::net::TcpStream::connect(out.to).await?;
                    stream.write_u32(out.bytes.len() as u32).await?;
                    stream.write_all(&out.bytes).await?;
                    let mut answer = vec![0; stream.read_u32().await? as usize];
                    stream.read_exact(&mut answer).await.map(|_| answer)
                };
                if let Ok(Ok(answer)) = tokio::time::timeout(Duration::from_millis(300), talk).await
                {
                    let _ =
                        node.heard(now(), out.to, Transport::Exchange, &answer, &mut Vec::new());
                }
            }
        }
    })
}

/// Eighteen honest members, one that lies under its own key, one that is slow; somebody without a key who
/// forges and one who repeats what was said. A server dies, then a member.
#[actix_rt::test]
async fn twenty_members_hold_against_liars() {
    let folder = Folder::new("twenty");
    let (trust, secrets) = keys(&folder.0, 20);
    let begun = Instant::now();
    let heard: Heard = Rc::default();
    let mut members: Vec<Rc<Runner>> = Vec::new();
    for of in 0..19 {
        let seeds = members
            .first()
            .map(|first| first.at())
            .into_iter()
            .collect();
        members.push(start(wish(&folder.0, &trust, of, seeds), of, begun, &heard));
    }
    let mut trusted = TrustStore::default();
    secrets
        .iter()
        .enumerate()
        .for_each(|(of, secret)| trusted.add(&name(of), secret.public()));
    let dragging = slow(
        19,
        secrets[19].clone(),
        trusted.clone(),
        members[0].at(),
        begun,
    );
    let present = |members: &[Rc<Runner>]| {
        members
            .iter()
            .map(|m| m.with(|node, _| node.swim.present()))
            .collect::<Vec<_>>()
    };
    let met = until("all have met", 30.0, || {
        present(&members).iter().all(|n| *n == 20)
    })
    .await;

    // Reports of own proxies: two healthy servers, and one that dies in a moment. The liar (18) says that all
    // are silent.
    let dies = Rc::new(RefCell::new(None::<Instant>));
    let reports = {
        let (members, dies) = (members.clone(), dies.clone());
        actix_rt::spawn(async move {
            loop {
                let dead = dies.borrow().is_some();
                for (of, member) in members.iter().enumerate() {
                    for server in ["s-well", "s-busy", "s-dies"] {
                        let lost = of == 18 || (dead && server == "s-dies");
                        member.met(server, 8.0, if lost { 8.0 } else { 1.0 });
                    }
                }
                actix_rt::time::sleep(Duration::from_millis(300)).await;
            }
        })
    };
    // Forged and repeated messages, at all of them, throughout.
    let forger = KeyRing {
        secret: fresh().expect("chance"),
        trust: trusted.clone(),
    };
    let honest = KeyRing {
        secret: secrets[3].clone(),
        trust: trusted,
    };
    let targets: Vec<SocketAddr> = members.iter().map(|m| m.at()).collect();
    let attack = actix_rt::spawn(async move {
        let from = UdpSocket::bind("127.0.0.1:0").expect("bound");
        let row = |server: &str| Row {
            server: server.into(),
            tries: u32::MAX,
            lost: u32::MAX,
            quiet_ms: u32::MAX,
        };
        let text = encode(&Evidence {
            number: u64::MAX,
            rows: vec![row("s-well"), row("s-busy")],
        });
        let signature = forger.sign(3, &text);
        let signed = |author: &str| Signed {
            author: author.into(),
            key: forger.key(),
            text: text.clone(),
            signature: signature.clone(),
        };
        let said = Body {
            what: Some(Payload::News(true)),
            evidence: vec![signed("m01"), signed("m02"), signed("m04")],
            ..Body::default()
        };
        let repeated = Body {
            what: Some(Payload::Ping(7)),
            ..Body::default()
        };
        for turn in 0.. {
            for (of, at) in targets.iter().enumerate() {
                let forged = message("m05", &name(of), u64::MAX, turn + 1, &forger, &said);
                let old = message("m03", &name(of), 1, 1, &honest, &repeated);
                for bytes in [&forged, &old, &old, &b"\xff\xfe no message".to_vec()] {
                    let _ = from.send_to(bytes, at);
                }
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
    });
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let doubted = |heard: &Heard, server: &str| {
        let is = |told: &TransportEvent| matches!(told, TransportEvent::Doubted(of) if of.contains(&(server.to_owned(), true)));
        heard
            .borrow()
            .iter()
            .filter(|(_, of, told)| *of != 18 && is(told))
            .count()
    };
    assert_eq!(doubted(&heard, "s-dies"), 0, "one liar alone moves nothing");

    *dies.borrow_mut() = Some(Instant::now());
    let known = until("the dead server is known by all", 10.0, || {
        doubted(&heard, "s-dies") >= 18
    })
    .await;
    assert_eq!(
        (doubted(&heard, "s-well"), doubted(&heard, "s-busy")),
        (0, 0)
    );

    let gone = |node: &Node<KeyRing>| {
        node.swim
            .member("m07")
            .is_some_and(|m| m.state == State::Dead)
    };
    members[7].stop();
    let left: Vec<_> = members
        .iter()
        .enumerate()
        .filter(|(of, _)| *of != 7)
        .map(|(_, m)| m.clone())
        .collect();
    let dead = until("the dead member is known by all", 30.0, || {
        left.iter().all(|m| m.with(|node, _| gone(node)))
    })
    .await;

    let passed = begun.elapsed().as_secs_f64();
    let mut most = (0.0f64, 0.0f64);
    let mut refused = 0;
    for member in &left {
        let tally = member.with(|node, _| node.tally.clone());
        most = (
            most.0.max(tally.sent_bytes as f64 / passed),
            most.1.max(tally.sent as f64 / passed),
        );
        refused += tally.refused.values().sum::<u64>();
        let name = member.with(|node, _| node.swim.name().to_owned());
        for (code, own) in [
            ("signature", "m05"),
            ("replayed", "m03"),
            ("unreadable", ""),
        ] {
            assert!(
                name == own || tally.refused.contains_key(code),
                "{name} {code}: {:?}",
                tally.refused
            );
        }
    }
    assert!(most.0 < 60_000.0 && most.1 < 120.0, "{most:?}");
    let taken_for = |state: State, but: &[&str]| {
        let is = |told: &TransportEvent| matches!(told, TransportEvent::Change(of) if of.to == state && !but.contains(&of.name.as_str()));
        heard
            .borrow()
            .iter()
            .filter(|(_, _, told)| is(told))
            .count()
    };
    assert_eq!(
        taken_for(State::Dead, &["m07", "m19"]),
        0,
        "members that live are not taken for dead"
    );
    let suspected = taken_for(State::Suspect, &["m07"]);
    println!(
        "met after {met:.1} s; server known by all after {known:.2} s, member after {dead:.2} s; at most \
         {:.0} bytes and {:.1} messages a second; {refused} messages refused, {suspected} suspicions of who lived",
        most.0, most.1
    );
    reports.abort();
    attack.abort();
    dragging.abort();
    members.iter().for_each(|m| m.stop());
}

/// A new key beside the old one, then in its place, then the old one taken out: nobody is lost on the way.
#[actix_rt::test]
async fn keys_change_in_service() {
    let folder = Folder::new("rotate");
    let (trust, _) = keys(&folder.0, 3);
    let (begun, heard) = (Instant::now(), Heard::default());
    let first = start(wish(&folder.0, &trust, 0, vec![]), 0, begun, &heard);
    let seeds = vec![first.at()];
    let mut members = vec![first];
    members.extend((1..3).map(|of| {
        start(
            wish(&folder.0, &trust, of, seeds.clone()),
            of,
            begun,
            &heard,
        )
    }));
    let whole = |members: &[Rc<Runner>]| {
        members
            .iter()
            .all(|m| m.with(|node, _| node.swim.present()) == 3)
    };
    until("all have met", 20.0, || whole(&members)).await;

    let old = read_secret(&folder.0.join(name(1))).expect("read").public();
    let new = fresh().expect("chance");
    let mut trusted = TrustedKeys::open(&trust).expect("read");
    assert!(trusted.add(&name(1), new.public()) && !trusted.add(&name(1), new.public()));
    trusted.write(&trust).expect("written");
    let next = folder.0.join("next");
    write_secret(&next, &new).expect("written");
    std::fs::rename(&next, folder.0.join(name(1))).expect("moved");
    until("the new key is in use", 10.0, || {
        members[1].with(|node, _| node.swim.seal.key() == new.public().id())
    })
    .await;
    let mut trusted = TrustedKeys::open(&trust).expect("read");
    assert_eq!(trusted.revoke(&name(1), Some(old)), 1);
    trusted.write(&trust).expect("written");
    let knows = |m: &Rc<Runner>| {
        m.with(|node, _| {
            !node.swim.seal.holds("m01", old.id(), 1, b"", &[0; 64])
                && node.swim.seal.trust_of("m01") == 1
        })
    };
    until("the old key is out", 10.0, || members.iter().all(knows)).await;
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    assert!(whole(&members));
    // A trust file that can't be read changes nothing.
    std::fs::write(&trust, "m00 nonsense\n").expect("written");
    actix_rt::time::sleep(Duration::from_millis(2500)).await;
    assert!(
        members
            .iter()
            .all(|m| m.with(|node, _| node.swim.seal.knows("m01")))
            && whole(&members)
    );
    // One that nobody trusts any more is heard by nobody.
    std::fs::write(&trust, trusted_but(&trusted, "m02")).expect("written");
    let lost = |m: &Rc<Runner>| {
        m.with(|node, _| {
            node.swim
                .member("m02")
                .is_some_and(|m| m.state == State::Dead)
        })
    };
    until("who lost its key is gone", 30.0, || {
        lost(&members[0]) && lost(&members[1])
    })
    .await;
    members.iter().for_each(|m| m.stop());
}

fn trusted_but(trusted: &TrustedKeys, but: &str) -> String {
    trusted
        .keys()
        .filter(|(name, _)| *name != but)
        .map(|(name, key)| format!("{name} {key}\n"))
        .collect()
}

#[actix_rt::test]
async fn one_that_leaves_is_missed_by_nobody() {
    let folder = Folder::new("leave");
    let (trust, _) = keys(&folder.0, 4);
    let (begun, heard) = (Instant::now(), Heard::default());
    let first = start(wish(&folder.0, &trust, 0, vec![]), 0, begun, &heard);
    let seeds = vec![first.at()];
    let mut members = vec![first];
    members.extend((1..4).map(|of| {
        start(
            wish(&folder.0, &trust, of, seeds.clone()),
            of,
            begun,
            &heard,
        )
    }));
    until("all have met", 20.0, || {
        members
            .iter()
            .all(|m| m.with(|node, _| node.swim.present()) == 4)
    })
    .await;
    members[3].leave();
    let left = |m: &Rc<Runner>| {
        m.with(|node, _| {
            node.swim
                .member("m03")
                .is_some_and(|m| m.state == State::Left)
        })
    };
    until("all know", 10.0, || members[..3].iter().all(left)).await;
    members[3].stop();
    // It starts again under its name.
    let again = start(wish(&folder.0, &trust, 3, seeds), 3, begun, &heard);
    until("it is back", 20.0, || {
        members[..3]
            .iter()
            .all(|m| m.with(|node, _| node.swim.present()) == 4)
    })
    .await;
    let dead = |told: &TransportEvent| matches!(told, TransportEvent::Change(change) if change.to == State::Dead);
    assert!(!heard.borrow().iter().any(|(_, _, told)| dead(told)));
    again.stop();
    members.iter().for_each(|m| m.stop());
}

/// Five divide forty slices among them; one dies and its slices are taken over, nobody else's move.
#[actix_rt::test]
async fn slices_are_divided_by_votes_and_taken_over_after_a_death() {
    let folder = Folder::new("charges");
    let (trust, _) = keys(&folder.0, 5);
    let (begun, heard) = (Instant::now(), Heard::default());
    let mut members: Vec<Rc<Runner>> = Vec::new();
    for of in 0..5 {
        let seeds = members
            .first()
            .map(|first| first.at())
            .into_iter()
            .collect();
        let wish = TransportOptions {
            slices: 40,
            ..wish(&folder.0, &trust, of, seeds)
        };
        members.push(start(wish, of, begun, &heard));
    }
    let held = |members: &[Rc<Runner>]| {
        let mut held = std::collections::BTreeMap::new();
        for (of, member) in members.iter().enumerate() {
            for slice in member.holds().into_keys() {
                assert_eq!(held.insert(slice, of), None, "slice {slice} is held by two");
            }
            // Whoever is to hand a slice over has it shut at once here.
            let due: Vec<u32> = heard
                .borrow()
                .iter()
                .filter_map(|(_, by, told)| match told {
                    TransportEvent::Charge(Charge::HandOver(slice)) if *by == of => Some(*slice),
                    _ => None,
                })
                .collect();
            if !due.is_empty() {
                heard.borrow_mut().retain(|(_, by, told)| {
                    *by != of || !matches!(told, TransportEvent::Charge(Charge::HandOver(_)))
                });
                due.into_iter().for_each(|slice| member.released(slice));
            }
        }
        held
    };
    let whole = |members: &[Rc<Runner>]| held(members).len() == 40;
    until("all slices are held", 60.0, || whole(&members)).await;
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    until("all slices are held for good", 60.0, || whole(&members)).await;
    let before = held(&members);
    let gone = members.pop().expect("one");
    gone.stop();
    let took = until("the dead one's slices are taken over", 60.0, || {
        whole(&members)
    })
    .await;
    let after = held(&members);
    let moved = before
        .iter()
        .filter(|(slice, of)| **of != 4 && after[slice] != **of)
        .count();
    println!(
        "{} slices taken over after {took:.1} s, {moved} others moved",
        before.values().filter(|of| **of == 4).count()
    );
    assert!(moved <= 2, "{moved}");
    members.iter().for_each(|m| m.stop());
}

#[test]
fn key_files_that_can_not_be_used_are_told_in_one_line() {
    use std::os::unix::fs::PermissionsExt;
    let folder = Folder::new("files");
    let (trust, _) = keys(&folder.0, 2);
    let secret = folder.0.join(name(0));
    assert!(
        write_secret(&secret, &fresh().expect("chance")).is_err(),
        "a key is never overwritten"
    );
    std::fs::set_permissions(&secret, std::fs::Permissions::from_mode(0o640)).expect("set");
    let refused = |wish: TransportOptions, name: &str| {
        OpenSockets::new(wish, name)
            .map(|_| ())
            .expect_err("refused")
    };
    let told = refused(wish(&folder.0, &trust, 0, vec![]), "m00");
    assert!(told.contains("mode 640") && !told.contains('\n'), "{told}");
    let told = refused(wish(&folder.0, &trust, 1, vec![]), "zoe");
    assert!(told.contains("no key of zoe"), "{told}");
    std::fs::write(&trust, "# all of us\nm01 00\n").expect("written");
    let told = refused(wish(&folder.0, &trust, 1, vec![]), "m01");
    assert!(told.contains("trust:2: the key of m01 is not 64"), "{told}");
    std::fs::write(folder.0.join(name(1)), "no key").expect("written");
    let told = refused(wish(&folder.0, &trust, 1, vec![]), "m01");
    assert!(told.ends_with("is not 64 hexadecimal digits"), "{told}");
}
