//! Counts of entries per worker and rack, so that placement reads small integers instead of comparing names.

use std::collections::BTreeMap;

use crate::catalogue::Class;

/// Number of an entry inside one pool. Numbers of entries without commitments are used again.
pub type EntryNumber = usize;

/// The tasks of one entry on one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resident {
    /// The entry.
    pub entry: EntryNumber,
    /// Class of the entry.
    pub class: Class,
    /// Tasks committed, and one for an executor that shares the VM. Never zero.
    pub count: u32,
}

/// Entries of a pool by number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryIndex {
    numbers: BTreeMap<String, EntryNumber>,
    /// Invariant: `slots[numbers[name]].name == name`.
    slots: Vec<Slot>,
    /// Numbers without an entry.
    unused: Vec<EntryNumber>,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Slot {
    name: String,
    /// Commitments by rack. Never holds a zero; empty exactly for unused numbers.
    by_rack: BTreeMap<String, u32>,
}

impl EntryIndex {
    /// The entries that have commitments, with their numbers.
    pub fn entries(&self) -> impl Iterator<Item = (&str, EntryNumber)> {
        self.numbers.iter().map(|(name, number)| (name.as_str(), *number))
    }

    /// Name of a number in use.
    #[must_use]
    pub fn name(&self, entry: EntryNumber) -> Option<&str> {
        self.slots.get(entry).map(|slot| slot.name.as_str())
    }

    /// One more than the largest number in use.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.slots.len()
    }

    /// Commitments of an entry by rack.
    #[must_use]
    pub fn by_rack(&self, entry: &str) -> Option<&BTreeMap<String, u32>> {
        let number = self.numbers.get(entry)?;
        self.slots.get(*number).map(|slot| &slot.by_rack)
    }

    /// Counts one more commitment and returns the entry's number.
    pub(super) fn add(&mut self, entry: &str, rack: &str) -> EntryNumber {
        let number = match self.numbers.get(entry) {
            Some(number) => *number,
            None => self.assign_number(entry),
        };
        if let Some(slot) = self.slots.get_mut(number) {
            match slot.by_rack.get_mut(rack) {
                Some(count) => *count += 1,
                None => {
                    slot.by_rack.insert(rack.to_owned(), 1);
                }
            }
        }
        number
    }

    /// Counts one commitment less and returns the number that the entry had.
    pub(super) fn subtract(&mut self, entry: &str, rack: &str) -> Option<EntryNumber> {
        let number = *self.numbers.get(entry)?;
        let slot = self.slots.get_mut(number)?;
        if let Some(count) = slot.by_rack.get_mut(rack) {
            *count -= 1;
            if *count == 0 {
                slot.by_rack.remove(rack);
            }
        }
        if slot.by_rack.is_empty() {
            slot.name.clear();
            self.numbers.remove(entry);
            self.unused.push(number);
        }
        Some(number)
    }

    fn assign_number(&mut self, entry: &str) -> EntryNumber {
        let number = self.unused.pop().unwrap_or(self.slots.len());
        if number == self.slots.len() {
            self.slots.push(Slot::default());
        }
        entry.clone_into(&mut self.slots[number].name);
        self.numbers.insert(entry.to_owned(), number);
        number
    }
}
