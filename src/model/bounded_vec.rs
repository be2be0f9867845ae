//! Lists whose length is bounded while they are decoded.

use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error, SeqAccess, Visitor};

/// Decodes a list of at most `MAX` elements, and stops at the first one too many: an element of a byte
/// may take hundreds in memory.
pub fn bounded_vec<'de, D, T, const MAX: usize>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(BoundedVec::<T, MAX>(PhantomData))
}

struct BoundedVec<T, const MAX: usize>(PhantomData<T>);

impl<'de, T: Deserialize<'de>, const MAX: usize> Visitor<'de> for BoundedVec<T, MAX> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "a list of at most {MAX} elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            if items.len() == MAX {
                return Err(A::Error::custom(format!("more than {MAX} elements")));
            }
            items.push(item);
        }
        Ok(items)
    }
}
