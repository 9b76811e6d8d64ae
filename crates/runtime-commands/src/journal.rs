//! The journal of orders by hand: what has been accepted is on the disk before anybody is told so. Records are framed
//! and checksummed; a tail that was torn by a kill is cut; what has ended is left out when it is written anew.

use std::collections::{BTreeMap, VecDeque};
use std::io;

use lynxmill_assigner_state::hand::Record;

/// Length and checksum before each record.
const HEAD: usize = 8;
/// The longest record.
const LONGEST: usize = 64 << 10;
/// Orders that have ended whose results are kept.
const ENDED: usize = 512;
/// It is written anew at this length, or so many times what was of use the last time.
const LONG: u64 = 64 << 10;
const TIMES: u64 = 4;

/// What keeps the bytes: a file, or one that fails in a test.
pub trait Disk {
    /// # Errors
    /// What the disk tells; so for all that follows.
    fn read(&mut self) -> io::Result<Vec<u8>>;

    /// Cuts it off at a length.
    fn cut(&mut self, length: u64) -> io::Result<()>;

    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Returns once all that was appended is sure.
    fn sync(&mut self) -> io::Result<()>;

    /// Puts these bytes in its place, whole or not at all.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// # Errors
/// A record over the bound, which no order is.
pub fn framed(record: &Record) -> io::Result<Vec<u8>> {
    let body = serde_json::to_vec(record).map_err(io::Error::other)?;
    if body.len() > LONGEST {
        return Err(io::Error::other("a record that is too long"));
    }
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// The sound records, and where the first that is not begins.
pub fn sound(bytes: &[u8]) -> (Vec<Record>, usize) {
    let (mut records, mut at) = (Vec::new(), 0);
    while let Some(head) = bytes.get(at..at + HEAD) {
        let word = |from: usize| {
            head[from..from + 4]
                .try_into()
                .map_or(0, u32::from_le_bytes)
        };
        let (length, sum) = (word(0) as usize, word(4));
        let body = bytes
            .get(at + HEAD..at + HEAD + length)
            .filter(|_| length <= LONGEST);
        let Some(body) = body.filter(|body| crc32fast::hash(body) == sum) else {
            break;
        };
        let Ok(record) = serde_json::from_slice(body) else {
            break;
        };
        records.push(record);
        at += HEAD + length;
    }
    (records, at)
}

pub struct Journal<D> {
    disk: D,
    /// The last record of each order, and those that have ended, the oldest first.
    last: BTreeMap<String, Record>,
    ended: VecDeque<String>,
    length: u64,
    /// Written anew at this length.
    tidy_at: u64,
    /// A write failed: what is behind the sound part is not known.
    torn: bool,
}

impl<D: Disk> Journal<D> {
    /// Opens it; what stood in it, the oldest first, and how many bytes of a torn tail were cut.
    ///
    /// # Errors
    /// What the disk tells.
    pub fn open(mut disk: D) -> io::Result<(Self, Vec<Record>, u64)> {
        let bytes = disk.read()?;
        let (records, end) = sound(&bytes);
        let cut = (bytes.len() - end) as u64;
        if cut > 0 {
            disk.cut(end as u64)?;
            disk.sync()?;
        }
        let mut journal = Journal {
            disk,
            last: BTreeMap::new(),
            ended: VecDeque::new(),
            length: end as u64,
            tidy_at: LONG.max(end as u64),
            torn: false,
        };
        let mut order: Vec<String> = Vec::new();
        for record in &records {
            order.retain(|id| *id != record.id);
            order.push(record.id.clone());
            journal.note(record);
        }
        let stood = order
            .iter()
            .filter_map(|id| journal.last.get(id).cloned())
            .collect();
        Ok((journal, stood, cut))
    }

    fn note(&mut self, record: &Record) {
        self.last.insert(record.id.clone(), record.clone());
        if !record.stands {
            self.ended.push_back(record.id.clone());
        }
        while self.ended.len() > ENDED {
            if let Some(oldest) = self.ended.pop_front() {
                self.last.remove(&oldest);
            }
        }
    }

    /// Writes records and returns once they are sure. Where that fails none of them counts.
    ///
    /// # Errors
    /// What the disk tells.
    pub fn keep(&mut self, records: &[Record]) -> io::Result<()> {
        self.mend()?;
        let mut bytes = Vec::new();
        for record in records {
            bytes.extend(framed(record)?);
        }
        self.torn = true;
        if let Err(e) = self.disk.append(&bytes).and_then(|()| self.disk.sync()) {
            // Told to have failed, it must not stand after a kill: cut off now, or before the next.
            let _ = self.mend();
            return Err(e);
        }
        self.torn = false;
        self.length += bytes.len() as u64;
        records.iter().for_each(|record| self.note(record));
        // What is kept is kept, whether the file could be written anew or not.
        let _ = self.tidy();
        Ok(())
    }

    fn mend(&mut self) -> io::Result<()> {
        if self.torn {
            self.disk.cut(self.length)?;
            self.torn = false;
        }
        Ok(())
    }

    /// Written anew where most of it is of no use any more.
    fn tidy(&mut self) -> io::Result<()> {
        if self.length < self.tidy_at {
            return Ok(());
        }
        // Where it can't be, it is tried again at twice the length.
        self.tidy_at = self.length * 2;
        let mut bytes = Vec::new();
        let standing = self.last.values().filter(|record| record.stands);
        let ended = self.ended.iter().filter_map(|id| self.last.get(id));
        for record in ended.chain(standing) {
            bytes.extend(framed(record)?);
        }
        self.disk.replace(&bytes)?;
        self.length = bytes.len() as u64;
        self.tidy_at = LONG.max(self.length * TIMES);
        Ok(())
    }

    pub fn length(&self) -> u64 {
        self.length
    }
}
