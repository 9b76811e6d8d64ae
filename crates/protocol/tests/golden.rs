//! One message of every kind as the first release encodes it: members and edges of different builds have to
//! understand each other.

use std::collections::BTreeMap;
use std::fmt::Debug;

use lynxmill_configuration::{Item, TakenVersion};
use lynxmill_protocol::{
    Accept, Accepted, Answered, Ballot, Change, ConfigurationUpdate, Edge, EdgeAt, EdgeSays,
    EdgeWelcome, Envelope, Fleet, Hello, InstanceReport, LeaseRequest, MarkAnswer, MemberStatus,
    Membership, PeerRequest, PeerResponse, PendingChanges, Prepare, Promise, Ready, Register,
    RegisterVersion, RegistersPart, RegistersRequest, Report, ResponseEnvelope, Row, SeatRequest,
    ShardTable, Slice, SliceSeen, SnapshotPart, SnapshotRequest, State, Table, Task, TaskSeen,
    Tasks, ToEdge, ToEdgeBody, frame,
};
use prost::Message;

/// Lines of a name and the bytes of a frame in hexadecimal digits.
const FRAMES: &str = include_str!("fixtures/frames.txt");

fn text(text: &str) -> String {
    text.to_owned()
}

fn ballot(count: u64) -> Ballot {
    Ballot {
        count,
        node: 167_772_161,
        life: 77,
    }
}

fn members(epoch: u64) -> Membership {
    Membership {
        epoch,
        ips: vec![text("10.0.0.1"), text("10.0.0.2"), text("10.0.0.3")],
    }
}

fn item() -> Item {
    let taken = vec![
        TakenVersion {
            version: 9,
            content: 1 << 40,
        },
        TakenVersion {
            version: 8,
            content: 3,
        },
    ];
    Item {
        key: text("r/search"),
        version: 9,
        dropped: true,
        body: text(r#"{"Host":"a"}"#),
        taken,
    }
}

fn task() -> Task {
    Task {
        id: text("i-1"),
        service: text("search"),
        address: text("10.1.0.9:8080"),
        zone: text("north"),
        slots: 12,
        state: State::Draining as i32,
        call_seq: 41,
        cold_left_ms: 900,
        silent: true,
        version: text("v3"),
    }
}

fn register() -> Register {
    Register {
        name: text("calls"),
        promised: ballot(6),
        accepted: ballot(5),
        value: vec![1, 2, 3],
    }
}

fn changes() -> PendingChanges {
    PendingChanges {
        last: 7,
        calls: vec![Change {
            number: 7,
            items: vec![item()],
        }],
    }
}

fn status() -> MemberStatus {
    MemberStatus {
        ip: text("10.0.0.1"),
        members: members(4),
        merged: 300,
        leaving: true,
        catching_up: true,
        custody: vec![text("search")],
        control: text("10.0.0.1:8146"),
        tasks: 1 << 60,
        items: 5,
        learner_ready: true,
    }
}

fn requests() -> Vec<(&'static str, PeerRequest)> {
    let register_name = || text("berth/search");
    let accept = Accept {
        register: register_name(),
        ballot: ballot(3),
        members: members(4),
        value: vec![9; 5],
        life: 78,
    };
    let lease = LeaseRequest {
        service: text("search"),
        holder: text("10.0.0.2"),
        life: 78,
        epoch: 4,
        back: true,
    };
    let report = InstanceReport {
        tasks: vec![task()],
        ids: vec![text("i-2")],
        seqs: vec![17],
    };
    let held = vec![RegisterVersion {
        name: text("calls"),
        accepted: ballot(5),
    }];
    let sources = vec![text("10.0.0.1"), text("10.0.0.2")];
    let seat = SeatRequest {
        ballot: ballot(8),
        previous: members(4),
        next: members(5),
        sources,
    };
    vec![
        (
            "prepare",
            PeerRequest::Prepare(Prepare {
                register: register_name(),
                ballot: ballot(3),
                members: members(4),
            }),
        ),
        ("accept", PeerRequest::Accept(accept)),
        ("learn", PeerRequest::Learn(changes())),
        ("lease-request", PeerRequest::LeaseRequest(lease)),
        ("member-status", PeerRequest::MemberStatus(status())),
        ("instance-report", PeerRequest::InstanceReport(report)),
        (
            "snapshot-request",
            PeerRequest::Snapshot(SnapshotRequest {
                digests: vec![1, 2, 1 << 50],
                after: text("r/a"),
            }),
        ),
        (
            "registers-request",
            PeerRequest::Registers(RegistersRequest {
                after: text("calls"),
                held,
            }),
        ),
        ("seat-request", PeerRequest::Seat(seat)),
    ]
}

fn responses() -> Vec<(&'static str, PeerResponse)> {
    let promise = Promise {
        ok: true,
        promised: ballot(6),
        accepted: ballot(5),
        value: vec![7],
        merged: 300,
        life: 78,
        members: Some(members(5)),
        changing: true,
    };
    let registers = RegistersPart {
        registers: vec![register()],
        members: members(4),
        pending: Some(members(5)),
        catching_up: true,
        last: true,
        merged: 300,
    };
    vec![
        ("promise", PeerResponse::Promise(promise)),
        (
            "accepted",
            PeerResponse::Accepted(Accepted {
                ok: true,
                promised: ballot(6),
            }),
        ),
        ("yes", PeerResponse::Yes(true)),
        (
            "snapshot-part",
            PeerResponse::Snapshot(SnapshotPart {
                merged: 300,
                items: vec![item()],
                last: true,
                left: 2,
            }),
        ),
        (
            "member-status-response",
            PeerResponse::MemberStatus(status()),
        ),
        ("registers-part", PeerResponse::Registers(registers)),
    ]
}

fn from_edges() -> Vec<(&'static str, Edge)> {
    let hello = Hello {
        name: text("edge-1"),
        zone: text("north"),
        region: text("west"),
        front: text("10.2.0.1:80"),
        life: 9,
    };
    let seen = TaskSeen {
        id: text("i-1"),
        tries: 9,
        lost: 2,
        took_ms: 1.5,
        held: 3,
    };
    let slices = vec![SliceSeen {
        service: text("search"),
        from: 30_000,
        requests: 8,
    }];
    vec![
        ("hello", Edge::Hello(hello)),
        ("ready", Edge::Ready(Ready { ready: true })),
        (
            "mark-answer",
            Edge::Answer(MarkAnswer {
                service: text("search"),
                term: 3,
                mark: 12,
            }),
        ),
        (
            "report",
            Edge::Report(Report {
                over_ms: 1000,
                tasks: vec![seen],
                slices,
            }),
        ),
    ]
}

fn to_edges() -> Vec<(&'static str, ToEdgeBody)> {
    let row = Row {
        from: 1,
        to: 65_535,
        owner: text("i-1"),
        fence: 9,
        shut: true,
    };
    let table = Table {
        service: text("search"),
        term: 3,
        mark: 12,
        whole: true,
        rows: vec![row],
    };
    let edges = vec![EdgeAt {
        name: text("edge-1"),
        zone: text("north"),
    }];
    vec![
        (
            "welcome",
            ToEdgeBody::EdgeWelcome(EdgeWelcome {
                name: text("core-1"),
                members: members(1).ips,
            }),
        ),
        (
            "configuration",
            ToEdgeBody::ConfigurationUpdate(ConfigurationUpdate {
                items: vec![item()],
                whole: true,
            }),
        ),
        (
            "tasks",
            ToEdgeBody::Tasks(Tasks {
                tasks: vec![task()],
                whole: true,
            }),
        ),
        ("table", ToEdgeBody::Table(table)),
        ("fleet", ToEdgeBody::Fleet(Fleet { edges })),
        ("answered", ToEdgeBody::Answered(Answered {})),
    ]
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Checks that a message has the bytes of the fixture, and that these bytes are read as the message.
fn check<M: Message + Default + PartialEq + Debug>(
    left: &mut BTreeMap<&str, &str>,
    name: &str,
    message: &M,
) {
    let bytes = frame(message);
    assert_eq!(
        left.remove(name),
        Some(hexadecimal(&bytes).as_str()),
        "{name}"
    );
    assert_eq!(M::decode(&bytes[4..]).as_ref(), Ok(message), "{name}");
}

#[test]
fn every_kind_of_frame_has_the_bytes_of_the_first_release() {
    let mut left: BTreeMap<&str, &str> = FRAMES
        .lines()
        .filter_map(|line| line.split_once(' '))
        .collect();
    for (name, body) in requests() {
        check(
            &mut left,
            name,
            &Envelope {
                id: 12,
                body: Some(body),
            },
        );
    }
    for (name, body) in responses() {
        check(
            &mut left,
            name,
            &ResponseEnvelope {
                id: 12,
                body: Some(body),
            },
        );
    }
    for (name, body) in from_edges() {
        check(&mut left, name, &EdgeSays { body: Some(body) });
    }
    for (name, body) in to_edges() {
        check(&mut left, name, &ToEdge { body: Some(body) });
    }
    let slices = vec![Slice {
        from: 0,
        to: 65_535,
        owner: text("i-1"),
        fence: 4,
    }];
    check(
        &mut left,
        "shard-table",
        &ShardTable {
            term: 3,
            holder: text("10.0.0.2"),
            slices,
        },
    );
    check(&mut left, "register", &register());
    assert!(left.is_empty(), "not checked: {left:?}");
}
