//! The bytes: protocol buffers, so that fields that a later version adds are passed over by this one. What is
//! signed is signed as the bytes that were sent, never as they would be written again.

use prost::Message;

/// Of the datagram. Another one is refused.
pub const VERSION: u32 = 1;

/// What goes over the wire, one in a datagram or in each direction of an exchange.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Datagram {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(string, tag = "2")]
    pub from: String,
    /// Whom it is for; empty in the first exchange with a seed, whose name is not known.
    #[prost(string, tag = "3")]
    pub to: String,
    #[prost(fixed64, tag = "4")]
    pub key: u64,
    /// Grows with each start of the sender; the number with each message.
    #[prost(uint64, tag = "5")]
    pub life: u64,
    #[prost(uint64, tag = "6")]
    pub number: u64,
    #[prost(bytes = "vec", tag = "7")]
    pub body: Vec<u8>,
    #[prost(bytes = "vec", tag = "15")]
    pub signature: Vec<u8>,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Body {
    #[prost(oneof = "Payload", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub what: Option<Payload>,
    /// Claims on members, and what members saw of servers, in their authors' own signed words.
    #[prost(message, repeated, tag = "16")]
    pub claims: Vec<Signed>,
    #[prost(message, repeated, tag = "17")]
    pub evidence: Vec<Signed>,
    /// In an exchange: how many its sender takes to be there, so that one who knows fewer asks on.
    #[prost(uint32, tag = "18")]
    pub present: u32,
}

/// Numbers are of the one who asks; answers name them.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Payload {
    #[prost(uint64, tag = "1")]
    Ping(u64),
    #[prost(uint64, tag = "2")]
    Ack(u64),
    /// The one who was to be probed for the asker has not answered.
    #[prost(uint64, tag = "3")]
    Nack(u64),
    #[prost(message, tag = "4")]
    Ask(Ask),
    /// All that is known, and all that the other knows is wanted; or just the former.
    #[prost(bool, tag = "5")]
    Exchange(bool),
    /// Its sender's present life is not above this one, which is known here.
    #[prost(uint64, tag = "6")]
    Behind(u64),
    /// Nothing but what comes with it.
    #[prost(bool, tag = "7")]
    News(bool),
    /// Votes that are asked for, and given or refused.
    #[prost(message, tag = "8")]
    Ballots(Ballots),
    #[prost(message, tag = "9")]
    Votes(Votes),
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Ballots {
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<BallotRow>,
    /// How many slices its sender holds.
    #[prost(uint32, tag = "2")]
    pub holds: u32,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct BallotRow {
    #[prost(enumeration = "BallotKind", tag = "1")]
    pub kind: i32,
    #[prost(uint32, tag = "2")]
    pub slice: u32,
    #[prost(uint64, tag = "3")]
    pub generation: u64,
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum BallotKind {
    Unknown = 0,
    Claim = 1,
    Keep = 2,
    Release = 3,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Votes {
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<VoteRow>,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoteRow {
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    #[prost(uint64, tag = "2")]
    pub round: u64,
    #[prost(bool, tag = "3")]
    pub yes: bool,
    #[prost(uint64, tag = "4")]
    pub known: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Ask {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(string, tag = "2")]
    pub about: String,
}

/// Somebody's own words, passed on by anybody.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct Signed {
    #[prost(string, tag = "1")]
    pub author: String,
    #[prost(fixed64, tag = "2")]
    pub key: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub text: Vec<u8>,
    #[prost(bytes = "vec", tag = "4")]
    pub signature: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    Unknown = 0,
    /// Of oneself.
    Alive = 1,
    Left = 2,
    /// Of another, in that incarnation of it.
    Suspect = 3,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Claim {
    #[prost(string, tag = "1")]
    pub about: String,
    #[prost(enumeration = "Kind", tag = "2")]
    pub kind: i32,
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Where one that is alive is to be met.
    #[prost(string, tag = "4")]
    pub at: String,
}

/// What its author saw of servers of late; a later number takes the place of an earlier one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Evidence {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<Row>,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Row {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(uint32, tag = "2")]
    pub tries: u32,
    #[prost(uint32, tag = "3")]
    pub lost: u32,
    /// Milliseconds since one succeeded; so much as there is where none ever has.
    #[prost(uint32, tag = "4")]
    pub quiet_ms: u32,
}

impl Datagram {
    /// The bytes that its signature is of: all of it but that.
    pub fn signed_text(&self) -> Vec<u8> {
        Datagram {
            signature: Vec::new(),
            ..self.clone()
        }
        .encode_to_vec()
    }
}

pub fn encode<T: Message>(of: &T) -> Vec<u8> {
    of.encode_to_vec()
}

/// # Errors
/// Bytes that are none of this kind.
pub fn decode<T: Message + Default>(bytes: &[u8]) -> Result<T, prost::DecodeError> {
    T::decode(bytes)
}
