//! Why a connection ended: one code for each reason.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The other side closed it between two messages, or broke it.
    PeerClosed,
    PeerReset,
    /// A stranger that sent no whole message in time, or none that names a zone; the oldest such when sockets
    /// ran out.
    Silent,
    NotJoined,
    Crowded,
    /// Joined, but a message that it began did not become whole.
    Unfinished,
    /// It doesn't read its answers.
    Unread,
    TooLong,
    BadFrame,
    UnknownKind,
    BadFields,
    NoSuchZone,
    /// The assigner was told to end.
    Stopping,
    /// An HTTP exchange on the assigner's address is over.
    HttpDone,
    /// Relay and discovery: the answer has come; none came up; none came in time; broke off; can't be read.
    Done,
    Unreachable,
    NoAnswer,
    Broken,
    Unreadable,
    TurnedBack,
    /// A new configuration names another address.
    Moved,
    /// An operator ended it.
    ByHand,
}

impl Reason {
    pub fn code(self) -> &'static str {
        match self {
            Reason::PeerClosed => "peer-closed",
            Reason::PeerReset => "peer-reset",
            Reason::Silent => "silent",
            Reason::NotJoined => "not-joined",
            Reason::Crowded => "crowded",
            Reason::Unfinished => "unfinished",
            Reason::Unread => "unread",
            Reason::TooLong => "too-long",
            Reason::BadFrame => "bad-frame",
            Reason::UnknownKind => "unknown-kind",
            Reason::BadFields => "bad-fields",
            Reason::NoSuchZone => "no-such-zone",
            Reason::Stopping => "stopping",
            Reason::HttpDone => "http-done",
            Reason::Done => "done",
            Reason::Unreachable => "unreachable",
            Reason::NoAnswer => "no-answer",
            Reason::Broken => "broken",
            Reason::Unreadable => "unreadable",
            Reason::TurnedBack => "turned-back",
            Reason::Moved => "moved",
            Reason::ByHand => "by-hand",
        }
    }

    /// An end that nobody needs to look at.
    pub fn usual(self) -> bool {
        use Reason::{ByHand, Done, HttpDone, Moved, PeerClosed, Stopping};
        matches!(
            self,
            PeerClosed | HttpDone | Done | Moved | Stopping | ByHand
        )
    }
}
