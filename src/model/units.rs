//! Quantities, versions and counters with their units.

use super::newtype::number;

number!(
    /// Processor time in thousandths of a core.
    Millicores,
    u64
);
number!(
    /// Memory in MiB.
    Mebibytes,
    u64
);
number!(
    /// Number of accelerators.
    Accelerators,
    u32
);
number!(
    /// A fraction in thousandths.
    Permille,
    u32
);
number!(
    /// Fencing epoch of a region's member record.
    Epoch,
    u64
);
number!(
    /// Version of a configuration bundle.
    Version,
    u64
);
number!(
    /// Revision of a record in the key-value service; zero means absent.
    Revision,
    u64
);
number!(
    /// Attempt number of a task, starting at one.
    Attempt,
    u32
);
number!(
    /// Number of a claim of the leader key among those of one entry process, starting at one.
    ClaimNumber,
    u64
);
number!(
    /// Wall-clock time in milliseconds since the Unix epoch. Records hold it, but no decision
    /// depends on it.
    Timestamp,
    u64
);
