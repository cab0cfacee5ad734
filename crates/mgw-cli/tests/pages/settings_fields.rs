//! Lists the keys that a settings struct reads, by a deserializer that only records field names.

use serde::de::{Deserialize, Deserializer, Visitor};
use serde::forward_to_deserialize_any;

/// Error that stops the deserialization and carries the struct's field names, or a message if there
/// are none.
#[derive(Debug, derive_more::Display)]
#[display("{fields:?} {message}")]
struct FieldNames {
    fields: Vec<&'static str>,
    message: String,
}

impl std::error::Error for FieldNames {}

impl serde::de::Error for FieldNames {
    fn custom<T: std::fmt::Display>(message: T) -> Self {
        Self {
            fields: Vec::new(),
            message: message.to_string(),
        }
    }
}

/// Deserializer that fails with the field names of the struct.
struct FieldLister;

impl<'de> Deserializer<'de> for FieldLister {
    type Error = FieldNames;

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, FieldNames> {
        Err(serde::de::Error::custom("not a struct"))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        _: V,
    ) -> Result<V::Value, FieldNames> {
        Err(FieldNames {
            fields: fields.to_vec(),
            message: String::new(),
        })
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 u8 u16 u32 u64 f32 f64 char str string bytes byte_buf option unit
        unit_struct newtype_struct seq tuple tuple_struct map enum identifier ignored_any
    }
}

/// Returns the keys that a struct reads.
pub fn list_fields<T: for<'de> Deserialize<'de>>() -> Vec<&'static str> {
    match T::deserialize(FieldLister) {
        Ok(_) => Vec::new(),
        Err(names) => {
            assert!(!names.fields.is_empty(), "no fields: {names}");
            names.fields
        }
    }
}
