//! One message of every kind as the first release encodes it: members and edges of different builds have to
//! understand each other.

use std::collections::BTreeMap;
use std::fmt::Debug;

use lynxmill_configuration::{Item, TakenVersion};
use lynxmill_protocol::{
    Accept, Accepted, Ballot, Change, ConfigurationUpdate, EdgeInfo, EdgeList, EdgeReadiness,
    EdgeWelcome, FromEdge, FromEdgeBody, Hello, InstanceReport, LeaseRequest, LoadReport,
    MemberStatus, Membership, PeerRequest, PeerResponse, PendingChanges, Prepare, Promise,
    PromoteRequest, Register, RegisterVersion, RegistersChunk, RegistersRequest,
    ReportAcknowledgement, RequestEnvelope, ResponseEnvelope, ShardEntry, ShardTable,
    ShardTableUpdate, Slice, SliceObservation, SnapshotChunk, SnapshotRequest,
    TableAcknowledgement, Task, TaskObservation, TaskState, TaskUpdate, ToEdge, ToEdgeBody,
    encode_frame,
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
        incarnation: 77,
    }
}

fn members(epoch: u64) -> Membership {
    Membership {
        epoch,
        ips: vec![text("10.0.0.1"), text("10.0.0.2"), text("10.0.0.3")],
    }
}

fn item() -> Item {
    let history = vec![
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
        history,
    }
}

fn task() -> Task {
    Task {
        id: text("i-1"),
        service: text("search"),
        address: text("10.1.0.9:8080"),
        zone: text("north"),
        slots: 12,
        state: TaskState::Draining as i32,
        call_seq: 41,
        warm_up_left_ms: 900,
        timed_out: true,
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
        last_number: 7,
        changes: vec![Change {
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
        owned_services: vec![text("search")],
        control_address: text("10.0.0.1:8146"),
        tasks_digest: 1 << 60,
        items_digest: 5,
        learner_ready: true,
        heartbeats: None,
    }
}

fn requests() -> Vec<(&'static str, PeerRequest)> {
    let register_name = || text("berth/search");
    let accept = Accept {
        register: register_name(),
        ballot: ballot(3),
        members: members(4),
        value: vec![9; 5],
        incarnation: 78,
    };
    let lease = LeaseRequest {
        service: text("search"),
        holder: text("10.0.0.2"),
        incarnation: 78,
        epoch: 4,
        release: true,
    };
    let report = InstanceReport {
        tasks: vec![task()],
        heartbeat_ids: vec![text("i-2")],
        heartbeat_sequences: vec![17],
    };
    let known = vec![RegisterVersion {
        name: text("calls"),
        accepted: ballot(5),
    }];
    let sources = vec![text("10.0.0.1"), text("10.0.0.2")];
    let seat = PromoteRequest {
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
                known,
            }),
        ),
        ("seat-request", PeerRequest::Promote(seat)),
    ]
}

fn responses() -> Vec<(&'static str, PeerResponse)> {
    let promise = Promise {
        ok: true,
        promised: ballot(6),
        accepted: ballot(5),
        value: vec![7],
        merged: 300,
        incarnation: 78,
        members: Some(members(5)),
        membership_changing: true,
    };
    let registers = RegistersChunk {
        registers: vec![register()],
        members: members(4),
        pending_membership: Some(members(5)),
        catching_up: true,
        is_last: true,
        merged: 300,
        storage_failed: false,
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
        ("yes", PeerResponse::Acknowledged(true)),
        (
            "snapshot-part",
            PeerResponse::Snapshot(SnapshotChunk {
                merged: 300,
                items: vec![item()],
                is_last: true,
                items_left: 2,
            }),
        ),
        (
            "member-status-response",
            PeerResponse::MemberStatus(status()),
        ),
        ("registers-part", PeerResponse::Registers(registers)),
    ]
}

fn from_edges() -> Vec<(&'static str, FromEdgeBody)> {
    let hello = Hello {
        name: text("edge-1"),
        zone: text("north"),
        region: text("west"),
        front: text("10.2.0.1:80"),
        incarnation: 9,
        reads_compressed: false,
        knows_versions: false,
    };
    let seen = TaskObservation {
        id: text("i-1"),
        attempts: 9,
        failures: 2,
        mean_latency_ms: 1.5,
        in_flight: 3,
    };
    let slices = vec![SliceObservation {
        service: text("search"),
        from: 30_000,
        requests: 8,
    }];
    vec![
        ("hello", FromEdgeBody::Hello(hello)),
        (
            "ready",
            FromEdgeBody::Readiness(EdgeReadiness { ready: true }),
        ),
        (
            "mark-answer",
            FromEdgeBody::TableAcknowledgement(TableAcknowledgement {
                service: text("search"),
                term: 3,
                sequence: 12,
            }),
        ),
        (
            "report",
            FromEdgeBody::LoadReport(LoadReport {
                rollouts: Vec::new(),
                interval_ms: 1000,
                tasks: vec![seen],
                slices,
            }),
        ),
    ]
}

fn to_edges() -> Vec<(&'static str, ToEdgeBody)> {
    let row = ShardEntry {
        from: 1,
        to: 65_535,
        owner: text("i-1"),
        generation: 9,
        closed: true,
    };
    let table = ShardTableUpdate {
        service: text("search"),
        term: 3,
        sequence: 12,
        is_complete: true,
        entries: vec![row],
    };
    let edges = vec![EdgeInfo {
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
                is_complete: true,
            }),
        ),
        (
            "tasks",
            ToEdgeBody::TaskUpdate(TaskUpdate {
                tasks: vec![task()],
                is_complete: true,
            }),
        ),
        ("table", ToEdgeBody::ShardTableUpdate(table)),
        ("fleet", ToEdgeBody::EdgeList(EdgeList { edges })),
        (
            "answered",
            ToEdgeBody::ReportAcknowledgement(ReportAcknowledgement {}),
        ),
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
    let bytes = encode_frame(message);
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
            &RequestEnvelope {
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
        check(&mut left, name, &FromEdge { body: Some(body) });
    }
    for (name, body) in to_edges() {
        check(&mut left, name, &ToEdge::plain(body));
    }
    let slices = vec![Slice {
        from: 0,
        to: 65_535,
        owner: text("i-1"),
        generation: 4,
    }];
    check(
        &mut left,
        "shard-table",
        &ShardTable {
            term: 3,
            owner: text("10.0.0.2"),
            slices,
        },
    );
    check(&mut left, "register", &register());
    assert!(left.is_empty(), "not checked: {left:?}");
}
