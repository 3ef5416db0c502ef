//! Deserializer of a parsed tree, with errors that can be repaired.

use std::borrow::Cow;

use serde::de::value::{BorrowedStrDeserializer, MapAccessDeserializer};
use serde::de::{self, DeserializeSeed, Visitor};
use serde::forward_to_deserialize_any;

use crate::field::Step;
use crate::mismatch::Mismatch;
use crate::tree::{Field, Kind, Tree};

/// Text of a placeholder; valid both as a name and as a socket address.
const PLACEHOLDER_TEXT: &str = "127.0.0.1:1";

impl<'de> Tree<'de> {
    fn deserialize_number<V: Visitor<'de>>(&'de self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Number(text) => visit_number(text, visitor),
            Kind::Placeholder => visitor.visit_u64(1),
            _ => de::Deserializer::deserialize_any(self, visitor),
        }
    }

    fn deserialize_text<V: Visitor<'de>>(&'de self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Placeholder => visitor.visit_borrowed_str(PLACEHOLDER_TEXT),
            _ => de::Deserializer::deserialize_any(self, visitor),
        }
    }
}

fn visit_number<'de, V: Visitor<'de>>(text: &str, visitor: V) -> Result<V::Value, Mismatch> {
    if let Ok(number) = text.parse() {
        return visitor.visit_u64(number);
    }
    if let Ok(number) = text.parse() {
        return visitor.visit_i64(number);
    }
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() => visitor.visit_f64(number),
        _ => Err(de::Error::custom("a number that fits in 64 bits")),
    }
}

impl<'de> de::Deserializer<'de> for &'de Tree<'de> {
    type Error = Mismatch;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Null | Kind::Placeholder => visitor.visit_unit(),
            Kind::Bool(value) => visitor.visit_bool(*value),
            Kind::Number(text) => visit_number(text, visitor),
            Kind::Text(text) => visitor.visit_borrowed_str(text),
            Kind::Array(elements) => visitor.visit_seq(Elements::new(elements)),
            Kind::Object(fields) => visitor.visit_map(Fields::new(fields)),
        }
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Placeholder => visitor.visit_bool(false),
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_u8<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.deserialize_number(visitor)
    }

    fn deserialize_u16<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.deserialize_number(visitor)
    }

    fn deserialize_u32<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.deserialize_number(visitor)
    }

    fn deserialize_u64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.deserialize_number(visitor)
    }

    fn deserialize_f64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.deserialize_number(visitor)
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.deserialize_text(visitor)
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.deserialize_text(visitor)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Null | Kind::Placeholder => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Mismatch> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Placeholder => visitor.visit_seq(Elements::new(&[])),
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Placeholder => visitor.visit_map(Fields::new(&[])),
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Placeholder => visitor.visit_map(PlaceholderFields {
                fields,
                value: self,
            }),
            Kind::Object(fields) => visitor.visit_map(Fields::new(fields)),
            _ => Err(de::Error::custom("an object")),
        }
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Text(text) => visitor.visit_enum(BorrowedStrDeserializer::new(text)),
            Kind::Object(fields) => {
                visitor.visit_enum(MapAccessDeserializer::new(Fields::new(fields)))
            }
            Kind::Placeholder => {
                let first = variants.first().copied().unwrap_or_default();
                visitor.visit_enum(BorrowedStrDeserializer::new(first))
            }
            _ => Err(de::Error::custom(format!("one of {}", variants.join(", ")))),
        }
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        visitor.visit_unit()
    }

    forward_to_deserialize_any! {
        i8 i16 i32 i64 i128 u128 f32 char bytes byte_buf unit unit_struct tuple tuple_struct
        identifier
    }
}

/// Elements of an array.
struct Elements<'de> {
    elements: std::iter::Enumerate<std::slice::Iter<'de, Tree<'de>>>,
}

impl<'de> Elements<'de> {
    fn new(elements: &'de [Tree<'de>]) -> Self {
        Self {
            elements: elements.iter().enumerate(),
        }
    }
}

impl<'de> de::SeqAccess<'de> for Elements<'de> {
    type Error = Mismatch;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, Mismatch> {
        let Some((index, element)) = self.elements.next() else {
            return Ok(None);
        };
        seed.deserialize(element)
            .map(Some)
            .map_err(|e| e.prepend_step(Step::Index(index)))
    }
}

/// Fields of an object.
struct Fields<'de> {
    fields: std::slice::Iter<'de, Field<'de>>,
    current: Option<&'de Field<'de>>,
}

impl<'de> Fields<'de> {
    fn new(fields: &'de [Field<'de>]) -> Self {
        Self {
            fields: fields.iter(),
            current: None,
        }
    }
}

impl<'de> de::MapAccess<'de> for Fields<'de> {
    type Error = Mismatch;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Mismatch> {
        let Some(field) = self.fields.next() else {
            return Ok(None);
        };
        self.current = Some(field);
        seed.deserialize(BorrowedStrDeserializer::new(&field.name))
            .map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, Mismatch> {
        let Some(field) = self.current.take() else {
            return Err(de::Error::custom("a field name before its value"));
        };
        seed.deserialize(&field.value)
            .map_err(|e| e.prepend_step(Step::Field(Cow::Owned(field.name.to_string()))))
    }
}

/// Fields of a struct, each with a placeholder as its value.
struct PlaceholderFields<'de> {
    fields: &'static [&'static str],
    value: &'de Tree<'de>,
}

impl<'de> de::MapAccess<'de> for PlaceholderFields<'de> {
    type Error = Mismatch;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Mismatch> {
        let Some((first, rest)) = self.fields.split_first() else {
            return Ok(None);
        };
        self.fields = rest;
        seed.deserialize(BorrowedStrDeserializer::new(first))
            .map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, Mismatch> {
        seed.deserialize(self.value)
    }
}
