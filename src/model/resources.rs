//! Amounts of the three resources of a worker: processor time, memory and accelerators.

use std::fmt;

use super::{Accelerators, Mebibytes, Millicores};

/// Processors, memory and accelerators that are declared, reserved or free.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time.
    pub cpu: Millicores,
    /// Memory.
    pub memory: Mebibytes,
    /// Accelerators.
    pub accelerators: Accelerators,
}

impl Resources {
    /// Creates an amount from millicores, MiB and a number of accelerators.
    pub const fn new(cpu: u64, memory: u64, accelerators: u32) -> Self {
        Self {
            cpu: Millicores(cpu),
            memory: Mebibytes(memory),
            accelerators: Accelerators(accelerators),
        }
    }

    /// Returns whether no resource of `self` exceeds `capacity`.
    pub fn fits(&self, capacity: &Self) -> bool {
        self.cpu <= capacity.cpu
            && self.memory <= capacity.memory
            && self.accelerators <= capacity.accelerators
    }

    /// Adds each resource, or returns `None` if one overflows.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu: Millicores(self.cpu.0.checked_add(other.cpu.0)?),
            memory: Mebibytes(self.memory.0.checked_add(other.memory.0)?),
            accelerators: Accelerators(self.accelerators.0.checked_add(other.accelerators.0)?),
        })
    }

    /// Subtracts each resource, saturating at zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} millicores, {} MiB, {} accelerators",
            self.cpu, self.memory, self.accelerators
        )
    }
}
