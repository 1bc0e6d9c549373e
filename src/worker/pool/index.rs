//! Index of the entries in a pool: numbers them and counts their tasks and services per rack. Placement compares the
//! numbers instead of names.

use std::collections::BTreeMap;

use crate::catalogue::Class;

/// Number of an entry within one pool. The number of an entry whose count drops to zero is reused.
pub type EntryNumber = usize;

/// The tasks of one entry on one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resident {
    /// Number of the entry in the pool's index.
    pub entry: EntryNumber,
    /// Class of the entry.
    pub class: Class,
    /// Committed tasks, plus one for an executor that shares the VM. Never zero.
    pub count: u32,
}

/// The entries of a pool with their numbers and their counts per rack. A commitment counts as one, and so does a
/// service that shares a VM with a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryIndex {
    numbers: BTreeMap<String, EntryNumber>,
    /// Invariant: `slots[numbers[name]].name == name`.
    slots: Vec<Slot>,
    /// Numbers to reuse.
    unused: Vec<EntryNumber>,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Slot {
    name: String,
    /// Count by rack. Contains no zero, and is empty if and only if the number is unused.
    by_rack: BTreeMap<String, u32>,
}

impl EntryIndex {
    /// Yields the entries with a count above zero, and their numbers.
    pub fn entries(&self) -> impl Iterator<Item = (&str, EntryNumber)> {
        self.numbers.iter().map(|(name, number)| (name.as_str(), *number))
    }

    /// Name of the entry with this number. Empty if the number is unused; `None` if it was never assigned.
    #[must_use]
    pub fn name(&self, entry: EntryNumber) -> Option<&str> {
        self.slots.get(entry).map(|slot| slot.name.as_str())
    }

    /// Exclusive upper bound of all assigned numbers.
    #[must_use]
    pub fn number_limit(&self) -> usize {
        self.slots.len()
    }

    /// Count of an entry by rack; `None` if it is zero.
    #[must_use]
    pub fn by_rack(&self, entry: &str) -> Option<&BTreeMap<String, u32>> {
        let number = self.numbers.get(entry)?;
        self.slots.get(*number).map(|slot| &slot.by_rack)
    }

    /// Adds one to the count of an entry in a rack and returns the entry's number.
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

    /// Subtracts one from the count of an entry in a rack and returns the number that the entry had before.
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
