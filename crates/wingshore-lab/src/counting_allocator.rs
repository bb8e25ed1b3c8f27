//! A global allocator that counts, for `wingshore-lab bench --hot-path`.
#![allow(unsafe_code)] // a global allocator cannot be written without it

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts allocations of the whole process.
struct CountingAllocator;

/// Allocations so far.
static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller's promises are passed on.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the caller's promises are passed on.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// How many allocations the process has made.
pub fn allocations() -> u64 {
    ALLOCATIONS.load(Ordering::Relaxed)
}
