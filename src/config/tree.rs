//! An untyped YAML tree with the line of every value.
//!
//! The typed decoder stops at the first error. Settings are checked on this tree instead, so that all errors of a file
//! are reported at once, each with its line.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

/// A value with its line.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Line in the file, counted from 1.
    pub line: u64,
    /// Value, with its children if it is a list or a map.
    pub value: Value,
}

/// A YAML value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// An empty value or `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// An integer.
    Int(i128),
    /// Any other number.
    Float(f64),
    /// A string, quoted or not.
    Text(String),
    /// The items of a list, in file order.
    List(Vec<Node>),
    /// Keys with their lines and values, in file order.
    Map(Vec<(Key, Node)>),
}

/// A key of a map.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    /// Line in the file, counted from 1.
    pub line: u64,
    /// Text of the key.
    pub name: String,
}

impl Value {
    /// Describes the value for error messages.
    #[must_use]
    pub fn describe(&self) -> String {
        match self {
            Self::Null => "nothing".to_owned(),
            Self::Bool(value) => value.to_string(),
            Self::Int(value) => value.to_string(),
            Self::Float(value) => value.to_string(),
            Self::Text(value) => format!("{value:?}"),
            Self::List(items) => format!("a list of {}", items.len()),
            Self::Map(keys) => format!("a map with {} keys", keys.len()),
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Value>::deserialize(deserializer)?;
        Ok(Self { line: spanned.referenced.line(), value: spanned.value })
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        Value::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Int(i128::from(value)))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Int(i128::from(value)))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Value, E> {
        Ok(Value::Int(value))
    }

    fn visit_u128<E>(self, value: u128) -> Result<Value, E> {
        Ok(Value::Int(i128::try_from(value).unwrap_or(i128::MAX)))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element::<Node>()? {
            items.push(item);
        }
        Ok(Value::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            let key = Key { line: key.referenced.line(), name: key.value };
            entries.push((key, map.next_value::<Node>()?));
        }
        Ok(Value::Map(entries))
    }
}
