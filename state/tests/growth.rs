//! Work is counted, not timed: what a kind of load costs in allocations and written bytes may grow with what
//! has changed, not faster.

mod fleet;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use fleet::{Fleet, Load};
use rstest::rstest;

static TAKEN: AtomicUsize = AtomicUsize::new(0);

struct Counting;

// SAFETY: every call is the system allocator's own; only a count is added.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        TAKEN.fetch_add(1, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
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
    ((TAKEN.load(Ordering::Relaxed) - taken) as f64, (fleet.written - written) as f64)
}

/// The fleet grows fourfold. Tests of this file run one after another: the count is the process's.
#[rstest]
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
        assert!(large.0 <= small.0 * most, "{name}: {} allocations at 600, {} at 2,400", small.0, large.0);
        let bytes = small.1.max(100.0) * most;
        assert!(large.1 <= bytes, "{name}: {} bytes written at 600, {} at 2,400", small.1, large.1);
    }
}
