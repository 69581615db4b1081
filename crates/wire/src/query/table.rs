//! Tables of rows from several nodes.

use serde::{Deserialize, Serialize};

/// The nodes whose responses a result contains and those whose responses are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// The nodes that responded.
    pub answered: Vec<String>,
    /// The nodes that were queried and did not respond.
    pub missing: Vec<String>,
}

/// A list of rows and the nodes that they come from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rows<T> {
    /// The nodes that responded and those that did not.
    pub coverage: Coverage,
    /// The rows.
    pub rows: Vec<T>,
}

/// A row of a response, shown as a line of a table.
pub trait Row: Serialize {
    /// The field names, in the order of the table's columns.
    const COLUMNS: &'static [&'static str];

    /// Returns whether both rows have the same key, so that only one of them is kept.
    fn has_same_key(&self, other: &Self) -> bool;

    /// Returns whether the row comes from the leader of the service that it describes.
    fn is_authoritative(&self) -> bool {
        false
    }
}

impl<T: Row> Rows<T> {
    /// Adds the rows and the coverage of another response.
    ///
    /// Of several rows with the same key, keeps the leader's if there is one, and the first otherwise.
    pub fn merge(&mut self, other: Rows<T>) {
        for row in other.rows {
            match self.rows.iter_mut().find(|r| r.has_same_key(&row)) {
                Some(old) if row.is_authoritative() && !old.is_authoritative() => *old = row,
                Some(_) => {}
                None => self.rows.push(row),
            }
        }
        self.coverage.merge(other.coverage);
    }
}

impl Coverage {
    /// Adds the nodes of another response. A node that responded at least once does not count as missing.
    pub fn merge(&mut self, other: Coverage) {
        self.answered.extend(other.answered);
        self.answered.sort();
        self.answered.dedup();
        self.missing.extend(other.missing);
        self.missing.sort();
        self.missing.dedup();
        self.missing.retain(|node| !self.answered.contains(node));
    }
}

/// Defines a type of row with its columns, the key `by` which rows are the same, and the flag of the leader's row.
macro_rules! row {
    ($(#[$doc:meta])* $name:ident by $($key:ident),+ $(; authoritative if $flag:ident)? {
        $($(#[$field_doc:meta])* $field:ident: $type:ty,)+
    }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)+
        }

        impl $crate::query::table::Row for $name {
            const COLUMNS: &'static [&'static str] = &[$(stringify!($field)),+];

            fn has_same_key(&self, other: &Self) -> bool {
                $(self.$key == other.$key)&&+
            }
            $(
                fn is_authoritative(&self) -> bool {
                    self.$flag
                }
            )?
        }
    };
}

pub(super) use row;
