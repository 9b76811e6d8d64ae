//! The journal's file, written on a thread of its own: the hub never waits for the disk.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};

use lynxmill_assigner_state::Event;
use lynxmill_assigner_state::hand::Record;
use lynxmill_runtime_commands::journal::{Disk, Journal};
use tokio::sync::mpsc::UnboundedSender;

pub(crate) struct OnDisk {
    file: File,
    path: PathBuf,
}

impl OnDisk {
    /// # Errors
    /// What the disk tells.
    pub(crate) fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        Ok(OnDisk {
            file,
            path: path.to_owned(),
        })
    }
}

impl Disk for OnDisk {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.file.seek(SeekFrom::Start(0))?;
        self.file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)?;
        self.file.seek(SeekFrom::Start(length)).map(drop)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.seek(SeekFrom::End(0))?;
        self.file.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut beside = self.path.clone().into_os_string();
        beside.push(".new");
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(&beside)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&beside, &self.path)?;
        // From here on the other file is nobody's.
        self.file = file;
        if let Some(folder) = self
            .path
            .parent()
            .filter(|folder| !folder.as_os_str().is_empty())
        {
            File::open(folder)?.sync_all()?;
        }
        Ok(())
    }
}

/// Takes records to the thread that writes them.
pub(crate) struct JournalThread(Sender<Record>);

impl JournalThread {
    /// Writes what comes, as many at once as there are, and tells of each that is sure.
    ///
    /// # Errors
    /// A thread that can't be started.
    pub(crate) fn start(
        journal: Journal<OnDisk>,
        tell: UnboundedSender<Event>,
    ) -> io::Result<Self> {
        let (to, from) = channel();
        std::thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || run(journal, &from, &tell))?;
        Ok(JournalThread(to))
    }

    pub(crate) fn keep(&self, record: Record) {
        // Its thread only ends with the program.
        let _ = self.0.send(record);
    }
}

fn run(mut journal: Journal<OnDisk>, from: &Receiver<Record>, tell: &UnboundedSender<Event>) {
    while let Ok(first) = from.recv() {
        let records: Vec<Record> = std::iter::once(first).chain(from.try_iter()).collect();
        let failed = journal.keep(&records).err().map(|e| e.to_string());
        if let Some(fail) = &failed {
            log::error!("the journal of orders by hand can't be written: {fail}");
        }
        for record in records {
            let _ = tell.send(Event::Kept {
                id: record.id,
                failed: failed.clone(),
            });
        }
    }
}
