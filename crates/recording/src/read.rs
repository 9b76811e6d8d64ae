//! Reading a day as far as it is sound.

use serde::de::DeserializeOwned;

use crate::frame::{Frame, FrameError, Kind, MARK, VERSION, unpack};
use crate::parts::{Asks, Day, Head, RecordedFault};

/// How far a day could be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadExtent {
    pub frames: u32,
    /// Where the last whole frame ends, and how long the file is.
    pub end: usize,
    pub bytes: usize,
    /// The writer ended in order and nothing follows.
    pub whole: bool,
    /// The first damage, where reading stopped.
    pub damage: Option<FrameError>,
}

fn part<T: DeserializeOwned>(body: &[u8], at: usize) -> Result<T, FrameError> {
    let damaged = |what: String| FrameError::Damaged { at, what };
    let (part, rest) = postcard::take_from_bytes(body).map_err(|e| damaged(e.to_string()))?;
    if rest.is_empty() {
        Ok(part)
    } else {
        Err(damaged("more than one part in its frame".to_owned()))
    }
}

fn parts<T: DeserializeOwned>(
    mut body: &[u8],
    at: usize,
    to: &mut Vec<T>,
) -> Result<(), FrameError> {
    let before = to.len();
    while !body.is_empty() {
        match postcard::take_from_bytes(body) {
            Ok((part, rest)) => {
                to.push(part);
                body = rest;
            }
            Err(e) => {
                to.truncate(before);
                return Err(FrameError::Damaged {
                    at,
                    what: e.to_string(),
                });
            }
        }
    }
    Ok(())
}

impl Day {
    fn new(head: Head) -> Self {
        Day {
            head,
            world: None,
            asks: Vec::new(),
            troubles: Vec::new(),
            log: Vec::new(),
        }
    }

    fn take(&mut self, frame: &Frame, at: usize) -> Result<(), FrameError> {
        let again = |what: &str| {
            Err(FrameError::Damaged {
                at,
                what: format!("a second {what}"),
            })
        };
        match frame.kind {
            Kind::Head => again("head"),
            Kind::World if self.world.is_some() => again("world"),
            Kind::World => part(&frame.body, at).map(|world| self.world = Some(world)),
            Kind::Asks => parts(&frame.body, at, &mut self.asks),
            Kind::Troubles => parts(&frame.body, at, &mut self.troubles),
            Kind::Log => parts(&frame.body, at, &mut self.log),
            Kind::End => Ok(()),
        }
    }

    /// Whether its parts can stand together: what is named exists, and the world's times count up.
    fn check(&self) -> Result<(), FrameError> {
        let odd = |what: String| Err(FrameError::Odd(what));
        let Some(world) = &self.world else {
            return Ok(());
        };
        let kinds = world.operations.len();
        let (zones, slices, servers) = (world.zones.len(), world.slices.len(), world.servers.len());
        if world.length <= 0 || zones == 0 || kinds == 0 || world.assigners.is_empty() {
            return odd("a world without length, zones, operations or assigners".to_owned());
        }
        let deals = |(a, s): &(u16, u32)| {
            usize::from(*a) < world.assigners.len() && (*s as usize) < servers
        };
        let sound = |s: &crate::Server| {
            let share = s.cold_from > 0.0 && s.cold_from <= 1.0;
            s.cores > 0 && s.speed > 0.0 && share && s.gain >= 0.0 && usize::from(s.zone) < zones
        };
        if !world.slices.iter().all(deals) || !world.servers.iter().all(sound) {
            return odd("a slice or a server of the world that can't be".to_owned());
        }
        if world
            .forwarders
            .iter()
            .any(|f| usize::from(f.zone) >= zones)
        {
            return odd("a forwarder of no zone".to_owned());
        }
        let exists = |a: &Asks| {
            let (slice, operation) = (
                usize::from(a.slice) < slices,
                usize::from(a.operation) < kinds,
            );
            slice && operation && usize::from(a.zone) < zones
        };
        if let Some(asks) = self.asks.iter().find(|asks| !exists(asks)) {
            return odd(format!("an invocation of what is not there: {asks:?}"));
        }
        if !self.asks.is_sorted_by_key(|asks| asks.at) {
            return odd("invocations that go back in time".to_owned());
        }
        let mut before = i64::MIN;
        for RecordedFault { at, what } in &self.troubles {
            if *at < before {
                return odd(format!("{what:?} goes back in time"));
            }
            before = *at;
            if !world.has(what) {
                return odd(format!("{what:?} strikes what is not there"));
            }
        }
        Ok(())
    }
}

/// A day, and how far it could be read. A day that was cut off, or has damage in it, comes with all frames
/// before.
///
/// # Errors
/// Where not even a head can be read, where a later version wrote it, or where its parts contradict each
/// other.
pub fn read(bytes: &[u8]) -> Result<(Day, ReadExtent), FrameError> {
    if bytes.is_empty() {
        return Err(FrameError::Empty);
    }
    let version = bytes
        .strip_prefix(MARK)
        .and_then(|rest| rest.first_chunk::<2>());
    let version = u16::from_le_bytes(*version.ok_or(FrameError::NoDay)?);
    if version > VERSION || version == 0 {
        return Err(FrameError::Newer(version));
    }
    let mut at = MARK.len() + 2;
    let Some(first) = unpack(bytes, at, 0)? else {
        return Err(FrameError::Empty);
    };
    if first.kind != Kind::Head {
        return Err(FrameError::Damaged {
            at,
            what: "the first frame is no head".to_owned(),
        });
    }
    let mut day = Day::new(part(&first.body, at)?);
    at = first.end;
    let mut extent = ReadExtent {
        frames: 1,
        end: at,
        bytes: bytes.len(),
        whole: false,
        damage: None,
    };
    loop {
        let taken = unpack(bytes, at, extent.frames).and_then(|frame| match frame {
            Some(frame) => day.take(&frame, at).map(|()| Some(frame)),
            None => Ok(None),
        });
        match taken {
            Ok(Some(frame)) => {
                (at, extent.end, extent.frames) = (frame.end, frame.end, extent.frames + 1);
                if frame.kind == Kind::End {
                    extent.whole = at == bytes.len();
                    if !extent.whole {
                        extent.damage = Some(FrameError::Damaged {
                            at,
                            what: "more after its end".to_owned(),
                        });
                    }
                    break;
                }
            }
            Ok(None) => break,
            Err(error) => {
                extent.damage = Some(error);
                break;
            }
        }
    }
    day.check()?;
    Ok((day, extent))
}
