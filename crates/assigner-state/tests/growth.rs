//! Work is counted, not timed: what a kind of load costs in allocations and written bytes may grow with what
//! has changed, not faster.

#![allow(unsafe_code)]

mod fleet;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use fleet::{Fleet, Load};

static TAKEN: AtomicUsize = AtomicUsize::new(0);
/// Bytes that are held.
static HELD: AtomicUsize = AtomicUsize::new(0);

struct Counting;

// SAFETY: every call is the system allocator's own; only a count is added.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        TAKEN.fetch_add(1, Ordering::Relaxed);
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Allocations and written bytes of a load at a size.
fn work(proxies: u16, load: Load) -> (f64, f64) {
    let mut fleet = Fleet::new(proxies);
    fleet.reports();
    let (taken, written) = (TAKEN.load(Ordering::Relaxed), fleet.written);
    load(&mut fleet);
    (
        (TAKEN.load(Ordering::Relaxed) - taken) as f64,
        (fleet.written - written) as f64,
    )
}

/// The fleet grows fourfold.
fn work_grows_no_faster_than_the_fleet() {
    let loads: [(&str, Load, f64); 4] = [
        // As many reports come at any size.
        ("reports", Fleet::reports, 1.5),
        ("burst", Fleet::burst, 4.2),
        ("answers", Fleet::answers, 4.2),
        ("release", Fleet::release, 4.4),
    ];
    for (name, load, most) in loads {
        let (small, large) = (work(600, load), work(2400, load));
        assert!(
            large.0 <= small.0 * most,
            "{name}: {} allocations at 600, {} at 2,400",
            small.0,
            large.0
        );
        let bytes = small.1.max(100.0) * most;
        assert!(
            large.1 <= bytes,
            "{name}: {} bytes written at 600, {} at 2,400",
            small.1,
            large.1
        );
    }
}

/// Bytes that a fleet's records hold, and what the status says that they come to at most.
fn held(fleet: &Fleet, before: usize) -> (usize, usize) {
    let status = serde_json::to_value(fleet.status()).expect("JSON");
    let most = status["bytes_at_most"].as_u64().expect("a figure") as usize;
    (HELD.load(Ordering::Relaxed) - before, most)
}

fn hours_of_releases_leave_nothing_behind() {
    let before = HELD.load(Ordering::Relaxed);
    let mut fleet = Fleet::new(150);
    let day = |fleet: &mut Fleet, hours: f64| {
        let until = fleet.now.secs() + hours * 3600.0;
        while fleet.now.secs() < until {
            fleet.reports();
            fleet.release();
            fleet.burst();
            fleet.pass(30.0);
        }
    };
    day(&mut fleet, 1.0);
    let (early, _) = held(&fleet, before);
    day(&mut fleet, 5.0);
    let (late, most) = held(&fleet, before);
    // A quarter of the servers under new names each time, some two thousand in all.
    assert!(
        late <= early + early / 20,
        "{early} bytes after an hour, {late} after six"
    );
    assert!(late <= most, "{late} bytes, told to be {most} at most");
}

fn records_stay_under_what_the_status_tells() {
    for proxies in [150, 600, 2400] {
        let before = HELD.load(Ordering::Relaxed);
        let mut fleet = Fleet::new(proxies);
        fleet.reports();
        fleet.release();
        fleet.burst();
        let (held, most) = held(&fleet, before);
        assert!(
            held <= most && most <= held * 4,
            "{proxies} proxies: {held} bytes, told to be {most} at most"
        );
    }
}

/// One after another: the counts are the process's.
#[test]
fn work_and_memory_grow_no_faster_than_the_fleet() {
    work_grows_no_faster_than_the_fleet();
    records_stay_under_what_the_status_tells();
    hours_of_releases_leave_nothing_behind();
}
