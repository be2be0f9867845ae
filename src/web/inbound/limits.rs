//! Limits on what a process holds for its clients.

/// Share of the memory of a VM for connections and the requests on them. The state of a leader takes
/// most of the rest.
const MEMORY_SHARE: usize = 4;

/// Share of the descriptors of a VM for connections of clients. A leader needs most of the others for
/// connections to workers.
const DESCRIPTOR_SHARE: usize = 4;

/// Memory that a connection takes in the process without a request: its task, and buffers that
/// the server keeps.
pub(super) const CONNECTION_BYTES: usize = 24 << 10;

/// Memory in MiB and descriptors of a VM whose settings name none.
const DEFAULT_MEMORY_MB: usize = 256;
const DEFAULT_DESCRIPTORS: usize = 4096;

/// Least memory in MiB and descriptors that limits are derived from.
const SMALLEST_MEMORY_MB: usize = 32;
const SMALLEST_DESCRIPTORS: usize = 256;

/// Limits on connections of clients and on the memory for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InboundLimits {
    /// Bytes that connections and the requests on them may take together.
    pub memory: usize,
    /// Open connections.
    pub connections: usize,
}

impl InboundLimits {
    /// Returns the limits for a VM with so much memory in MiB and so many descriptors; zero stands
    /// for an unknown number.
    pub fn for_vm(memory_mb: usize, descriptors: usize) -> Self {
        let or_default = |value: usize, default| if value == 0 { default } else { value };
        let memory_mb = or_default(memory_mb, DEFAULT_MEMORY_MB).max(SMALLEST_MEMORY_MB);
        let descriptors = or_default(descriptors, DEFAULT_DESCRIPTORS).max(SMALLEST_DESCRIPTORS);
        let memory = (memory_mb << 20) / MEMORY_SHARE;
        // Half of the memory is left for requests.
        let connections = (descriptors / DESCRIPTOR_SHARE).min(memory / 2 / CONNECTION_BYTES);
        Self {
            memory,
            connections,
        }
    }
}

impl Default for InboundLimits {
    fn default() -> Self {
        Self::for_vm(0, 0)
    }
}
