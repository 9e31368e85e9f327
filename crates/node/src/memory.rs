//! Memory for the bodies of upstreams' responses, shared by all exchanges of a process.
//!
//! A response is read in full before it is relayed, and an upstream in trouble may send bytes
//! without end. Each body may hold as much memory as is left for all others, and no more than
//! [`MAX_BODY_BYTES`]: a single long response may take half of the memory, while many at once are
//! each cut early and leave room for ordinary ones.

use std::sync::Arc;

use hyper::body::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Largest body that is accepted from an upstream, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1_024 * 1_024;
/// Part of the machine's memory that bodies may occupy, as a divisor.
const MEMORY_DIVISOR: u64 = 4;
/// Memory of the machine that is assumed if it is not known, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 128 * 1_024 * 1_024;

/// Memory for the bodies of all responses.
#[derive(Clone, Debug)]
pub struct Memory {
    /// One permit stands for one byte.
    free: Arc<Semaphore>,
}

/// A body and the memory that it holds, as far as it has been read.
#[derive(Debug)]
pub struct Body {
    free: Arc<Semaphore>,
    held: Option<OwnedSemaphorePermit>,
    bytes: Vec<u8>,
}

/// The body exceeds the memory that it may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded;

/// The bytes of a complete body; the memory is free again when the last reference to them is gone.
struct Complete {
    bytes: Vec<u8>,
    _held: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Memory {
    /// Creates the memory of a process on a machine with `machine_bytes` of memory.
    #[must_use]
    pub fn new(machine_bytes: u64) -> Self {
        let bytes = usize::try_from(machine_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        Self { free: Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))) }
    }

    /// Returns the memory of this machine in bytes, as the operating system reports it.
    #[must_use]
    pub fn of_machine() -> u64 {
        let report = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let total = report.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let kib = total.and_then(|text| text.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
        kib.map_or(DEFAULT_MEMORY_BYTES, |kib| kib.saturating_mul(1_024))
    }

    /// Returns the number of bytes that are free.
    #[must_use]
    pub fn free_bytes(&self) -> usize {
        self.free.available_permits()
    }

    /// Starts a body without any bytes.
    #[must_use]
    pub fn body(&self) -> Body {
        Body { free: Arc::clone(&self.free), held: None, bytes: Vec::new() }
    }
}

impl Body {
    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Exceeded`] if the body would hold more memory than is left for the others, or more
    /// than [`MAX_BODY_BYTES`].
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), Exceeded> {
        let size = self.bytes.len() + bytes.len();
        let left = self.free.available_permits().saturating_sub(bytes.len());
        if size > left.min(MAX_BODY_BYTES) {
            return Err(Exceeded);
        }
        let added = u32::try_from(bytes.len()).map_err(|_| Exceeded)?;
        let added = Arc::clone(&self.free).try_acquire_many_owned(added).map_err(|_| Exceeded)?;
        match &mut self.held {
            Some(held) => held.merge(added),
            None => self.held = Some(added),
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the bytes of the complete body.
    #[must_use]
    pub fn complete(self) -> Bytes {
        Bytes::from_owner(Complete { bytes: self.bytes, _held: self.held })
    }
}
