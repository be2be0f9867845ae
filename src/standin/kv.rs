//! State of the key-value stand-in, with time passed in.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::provider::{CasOutcome, Expected, Record};

/// Largest value of a record.
const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Debug)]
struct Lease {
    ttl: Millis,
    renewed: Millis,
}

/// Key-value records with revisions and leases, in memory.
#[derive(Debug, Default)]
pub struct Kv {
    records: BTreeMap<String, Record>,
    deleted: BTreeMap<String, Revision>,
    leases: BTreeMap<String, Lease>,
    revision: Revision,
}

impl Kv {
    /// Drops lapsed leases together with their records.
    pub fn expire(&mut self, now: Millis) {
        let lapsed: Vec<String> = self
            .leases
            .iter()
            .filter(|(_, lease)| now.since(lease.renewed) >= lease.ttl)
            .map(|(name, _)| name.clone())
            .collect();
        for name in lapsed {
            self.drop_lease(&name);
        }
    }

    /// Drops a lease and its records, as if it had lapsed.
    pub fn drop_lease(&mut self, name: &str) {
        self.leases.remove(name);
        let keys: Vec<String> = self
            .records
            .values()
            .filter(|record| record.lease.as_deref() == Some(name))
            .map(|record| record.key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }

    /// Reads one record.
    pub fn get(&self, key: &str) -> Option<Record> {
        self.records.get(key).cloned()
    }

    /// Reads all records whose key starts with `prefix`.
    pub fn list(&self, prefix: &str) -> Vec<Record> {
        self.records
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, record)| record.clone())
            .collect()
    }

    /// Writes or deletes a record if it is as expected.
    pub fn cas(
        &mut self,
        key: &str,
        expected: Expected,
        value: Option<Vec<u8>>,
        lease: Option<&str>,
    ) -> Result<CasOutcome, String> {
        let found = self.records.get(key);
        let matches = match expected {
            Expected::Absent => found.is_none(),
            Expected::At(revision) => found.is_some_and(|record| record.revision == revision),
        };
        if !matches {
            return Ok(CasOutcome::Conflict(found.cloned()));
        }
        let Some(value) = value else {
            self.delete(key);
            return Ok(CasOutcome::Written(self.revision));
        };
        if value.len() > MAX_VALUE_BYTES {
            return Err(format!("value of {key:?} exceeds {MAX_VALUE_BYTES} bytes"));
        }
        if let Some(name) = lease.filter(|name| !self.leases.contains_key(*name)) {
            return Err(format!("lease {name:?} does not exist"));
        }
        self.revision.0 += 1;
        self.deleted.remove(key);
        let record = Record {
            key: key.to_string(),
            value,
            revision: self.revision,
            lease: lease.map(str::to_string),
        };
        self.records.insert(key.to_string(), record);
        Ok(CasOutcome::Written(self.revision))
    }

    /// Extends a lease, or grants it if `create` is set.
    pub fn keep_lease(&mut self, name: &str, ttl: Millis, create: bool, now: Millis) -> bool {
        if let Some(lease) = self.leases.get_mut(name) {
            lease.ttl = ttl;
            lease.renewed = now;
            return true;
        }
        if create {
            self.leases
                .insert(name.to_string(), Lease { ttl, renewed: now });
        }
        create
    }

    /// Returns records with the prefix that changed after a revision; deleted ones have no value.
    pub fn changes(&self, prefix: &str, after: Revision) -> Vec<Record> {
        let written = self
            .list(prefix)
            .into_iter()
            .filter(|record| record.revision > after);
        let deleted = self
            .deleted
            .iter()
            .filter(|(key, revision)| key.starts_with(prefix) && **revision > after)
            .map(|(key, revision)| Record {
                key: key.clone(),
                value: Vec::new(),
                revision: *revision,
                lease: None,
            });
        written.chain(deleted).collect()
    }

    fn delete(&mut self, key: &str) {
        if self.records.remove(key).is_some() {
            self.revision.0 += 1;
            self.deleted.insert(key.to_string(), self.revision);
        }
    }
}
