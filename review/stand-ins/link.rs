//! The way to one machine, as a proxy that can be cut for some seconds: what is sent meanwhile is held up and
//! arrives when the cut has healed, as it does over TCP while nobody resets the connection.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::record::Record;

pub struct Link {
    pub address: String,
    cut: Arc<AtomicBool>,
}

impl Link {
    pub fn new(ip: &str, to: String, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|e| format!("{ip}: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
        let cut = Arc::new(AtomicBool::new(false));
        let (state, record) = (cut.clone(), record.clone());
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(called) = TcpStream::connect(&to) else { continue };
                let ways = [(caller.try_clone(), called.try_clone(), "to"), (Ok(called), Ok(caller), "from")];
                for (from, into, way) in ways {
                    let (Ok(from), Ok(into)) = (from, into) else { continue };
                    let (state, record, to) = (state.clone(), record.clone(), to.clone());
                    std::thread::spawn(move || pump(from, into, &state, &format!("{way} {to}"), &record));
                }
            }
        });
        Ok(Link { address, cut })
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn pump(mut from: TcpStream, mut into: TcpStream, cut: &AtomicBool, way: &str, record: &Record) {
    let mut piece = [0u8; 16384];
    loop {
        let got = from.read(&mut piece).unwrap_or(0);
        let held_up = cut.load(Ordering::SeqCst);
        while cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        if held_up {
            record.line(format!("link: {got} bytes {way} arrive after the cut (0: the end of the stream)"));
        }
        if got == 0 {
            let _ = into.shutdown(Shutdown::Write);
            return;
        }
        if into.write_all(&piece[..got]).is_err() {
            return;
        }
    }
}
