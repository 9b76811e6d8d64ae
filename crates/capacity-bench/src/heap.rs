//! A counting global allocator: bytes that are held now.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static HELD: AtomicUsize = AtomicUsize::new(0);

pub struct Counting;

// SAFETY: all work is the system allocator's; only sizes are added up.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Bytes that what `make` returns holds, and the thing itself.
pub fn holds<T>(make: impl FnOnce() -> T) -> (usize, T) {
    let before = HELD.load(Ordering::Relaxed);
    let made = make();
    (HELD.load(Ordering::Relaxed).saturating_sub(before), made)
}
