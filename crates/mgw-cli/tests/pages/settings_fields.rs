//! Lists the keys that a settings struct reads.

use serde::de::{Deserialize, Deserializer, Visitor};
use serde::forward_to_deserialize_any;

/// Ends the reading once the fields are known.
#[derive(Debug, derive_more::Display)]
#[display("{fields:?} {message}")]
struct Listed {
    fields: Vec<&'static str>,
    message: String,
}

impl std::error::Error for Listed {}

impl serde::de::Error for Listed {
    fn custom<T: std::fmt::Display>(message: T) -> Self {
        Self {
            fields: Vec::new(),
            message: message.to_string(),
        }
    }
}

struct FieldLister;

impl<'de> Deserializer<'de> for FieldLister {
    type Error = Listed;

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, Listed> {
        Err(serde::de::Error::custom("not a struct"))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        _: V,
    ) -> Result<V::Value, Listed> {
        Err(Listed {
            fields: fields.to_vec(),
            message: String::new(),
        })
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 u8 u16 u32 u64 f32 f64 char str string bytes byte_buf option unit
        unit_struct newtype_struct seq tuple tuple_struct map enum identifier ignored_any
    }
}

/// The keys that a struct reads.
pub fn list_fields<T: for<'de> Deserialize<'de>>() -> Vec<&'static str> {
    match T::deserialize(FieldLister) {
        Ok(_) => Vec::new(),
        Err(listed) => {
            assert!(!listed.fields.is_empty(), "no fields: {listed}");
            listed.fields
        }
    }
}
