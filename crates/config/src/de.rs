//! Deserializer from a tree, with errors that can be repaired.

use std::fmt;

use serde::de::value::{BorrowedStrDeserializer, MapAccessDeserializer};
use serde::de::{self, DeserializeSeed, Expected, Unexpected, Visitor};
use serde::forward_to_deserialize_any;

use crate::field::{FieldPath, Step};
use crate::tree::{Kind, Tree};

/// Stands for any text in a hole; valid as a name and as an address.
const HOLE_TEXT: &str = "127.0.0.1:1";

/// What does not fit at a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Problem {
    /// The object lacks this field.
    Missing(&'static str),
    /// The object has this field, which its type doesn't know.
    Unknown(Box<str>, &'static [&'static str]),
    /// The value has the wrong type or content; what is allowed.
    Value(Box<str>),
}

/// A problem and its place; the steps are in reverse order while it is passed up.
#[derive(Debug)]
pub(crate) struct Mismatch {
    reversed: Vec<Step>,
    pub(crate) problem: Problem,
}

impl Mismatch {
    fn new(problem: Problem) -> Self {
        Self {
            reversed: Vec::new(),
            problem,
        }
    }

    fn below(mut self, step: Step) -> Self {
        self.reversed.push(step);
        self
    }

    /// Place of the object or value with the problem.
    pub(crate) fn path(&self) -> FieldPath {
        FieldPath {
            steps: self.reversed.iter().rev().cloned().collect(),
        }
    }
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {}", self.problem, self.path())
    }
}

impl std::error::Error for Mismatch {}

impl de::Error for Mismatch {
    fn custom<T: fmt::Display>(text: T) -> Self {
        Self::new(Problem::Value(Box::from(text.to_string())))
    }

    fn invalid_type(_found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::custom(expected)
    }

    fn invalid_value(_found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::custom(expected)
    }

    fn invalid_length(_found: usize, expected: &dyn Expected) -> Self {
        Self::custom(expected)
    }

    fn unknown_variant(_found: &str, expected: &'static [&'static str]) -> Self {
        Self::custom(format!("one of {}", expected.join(", ")))
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        Self::new(Problem::Unknown(Box::from(field), expected))
    }

    fn missing_field(field: &'static str) -> Self {
        Self::new(Problem::Missing(field))
    }
}

impl<'de> Tree {
    fn number<V: Visitor<'de>>(&'de self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Number(text) => visit_number(text, visitor),
            Kind::Hole => visitor.visit_u64(1),
            _ => de::Deserializer::deserialize_any(self, visitor),
        }
    }

    fn text<V: Visitor<'de>>(&'de self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Hole => visitor.visit_borrowed_str(HOLE_TEXT),
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

impl<'de> de::Deserializer<'de> for &'de Tree {
    type Error = Mismatch;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Null | Kind::Hole => visitor.visit_unit(),
            Kind::Bool(value) => visitor.visit_bool(*value),
            Kind::Number(text) => visit_number(text, visitor),
            Kind::Text(text) => visitor.visit_borrowed_str(text),
            Kind::Array(elements) => visitor.visit_seq(Elements::new(elements)),
            Kind::Object(fields) => visitor.visit_map(Fields::new(fields)),
        }
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Hole => visitor.visit_bool(false),
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_u8<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.number(visitor)
    }

    fn deserialize_u16<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.number(visitor)
    }

    fn deserialize_u32<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.number(visitor)
    }

    fn deserialize_u64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.number(visitor)
    }

    fn deserialize_f64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.number(visitor)
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.text(visitor)
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        self.text(visitor)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Null | Kind::Hole => visitor.visit_none(),
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
            Kind::Hole => visitor.visit_seq(Elements::new(&[])),
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Mismatch> {
        match &self.kind {
            Kind::Hole => visitor.visit_map(Fields::new(&[])),
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
            Kind::Hole => visitor.visit_map(HoleFields { fields, hole: self }),
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
            Kind::Hole => {
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

struct Elements<'de> {
    elements: std::iter::Enumerate<std::slice::Iter<'de, Tree>>,
}

impl<'de> Elements<'de> {
    fn new(elements: &'de [Tree]) -> Self {
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
            .map_err(|e| e.below(Step::Index(index)))
    }
}

struct Fields<'de> {
    fields: std::slice::Iter<'de, (Box<str>, Tree)>,
    value: Option<(&'de str, &'de Tree)>,
}

impl<'de> Fields<'de> {
    fn new(fields: &'de [(Box<str>, Tree)]) -> Self {
        Self {
            fields: fields.iter(),
            value: None,
        }
    }
}

impl<'de> de::MapAccess<'de> for Fields<'de> {
    type Error = Mismatch;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Mismatch> {
        let Some((name, tree)) = self.fields.next() else {
            return Ok(None);
        };
        self.value = Some((name, tree));
        seed.deserialize(BorrowedStrDeserializer::new(name))
            .map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, Mismatch> {
        let Some((name, tree)) = self.value.take() else {
            return Err(de::Error::custom("a field name before its value"));
        };
        seed.deserialize(tree)
            .map_err(|e| e.below(Step::Field(name.into())))
    }
}

/// All fields of a struct, each a hole.
struct HoleFields<'de> {
    fields: &'static [&'static str],
    hole: &'de Tree,
}

impl<'de> de::MapAccess<'de> for HoleFields<'de> {
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
        seed.deserialize(self.hole)
    }
}
