//! Limits the jobs that are accepted at the same time. While its record is written to all copies, a job
//! takes several times its size.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that a job takes for each of its own while it is accepted: its record is encoded for the disk
/// and for the other copies.
pub const ARRIVING_FACTOR: usize = 2;
/// Jobs that arrive at the same time may have one in this many parts of the bytes for jobs. A single
/// job may be larger.
const ARRIVING_DIVISOR: usize = 4;

/// Bytes of jobs that are being accepted.
#[derive(Debug, Default)]
pub struct ArrivingBytes(AtomicUsize);

impl ArrivingBytes {
    /// Counts a job of `bytes` bytes as arriving until the guard is dropped. `None` if other jobs
    /// are arriving, and it would exceed their part of `job_bytes` together with them.
    pub fn try_add(&self, bytes: usize, job_bytes: usize) -> Option<ArrivingJob<'_>> {
        let max = job_bytes / ARRIVING_DIVISOR;
        let add = |others: usize| (others == 0 || others + bytes <= max).then(|| others + bytes);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        Some(ArrivingJob { arriving: self, bytes })
    }
}

/// Counts a job as arriving.
#[derive(Debug)]
pub struct ArrivingJob<'a> {
    arriving: &'a ArrivingBytes,
    bytes: usize,
}

impl Drop for ArrivingJob<'_> {
    fn drop(&mut self) {
        self.arriving.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
