//! Counts what a thread holds on the heap, so that a target can bound what an input may cost.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

struct Counting;

#[global_allocator]
static COUNTING: Counting = Counting;

thread_local! {
    /// Bytes that this thread holds, and the most it held since [`most_held`] began.
    static HELD: Cell<(isize, isize)> = const { Cell::new((0, 0)) };
}

fn note(bytes: isize) {
    // A thread that ends has no counters any more.
    let _ = HELD.try_with(|held| {
        let (now, most) = held.get();
        held.set((now + bytes, most.max(now + bytes)));
    });
}

// SAFETY: every call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        note(layout.size() as isize);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, place: *mut u8, layout: Layout) {
        note(-(layout.size() as isize));
        System.dealloc(place, layout)
    }

    unsafe fn realloc(&self, place: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        // Both may be there while it is moved.
        note(size as isize);
        note(-(layout.size() as isize));
        System.realloc(place, layout, size)
    }
}

/// Does some work, and tells how many bytes more than at its start it held at most.
pub fn most_held<T>(work: impl FnOnce() -> T) -> (T, usize) {
    let start = HELD.with(|held| {
        let (now, _) = held.get();
        held.set((now, now));
        now
    });
    let done = work();
    let most = HELD.with(|held| held.get().1);
    (done, usize::try_from(most - start).unwrap_or(0))
}
