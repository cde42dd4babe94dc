//! Values of every type whose bytes a released version fixes, made from the types alone.
//!
//! The code of the first release and that of today compile this file. Both make the same values of
//! a type as long as the part of it that the release encodes is the same.

use std::collections::BTreeMap;

use serde::de::{self, DeserializeOwned, DeserializeSeed, IntoDeserializer as _, Visitor};

/// The variants that the release has of each enum, in order; the name of the type does not tell
/// `Request`s apart, so one name may have several lists.
pub type Enums = BTreeMap<String, Vec<Vec<String>>>;

/// Makes values by deserializing from nothing: numbers and strings count up, options are set
/// three times of four, lists have one or two items, and the variants of each enum take turns.
pub struct Maker {
    /// The enums of the release; `None` while they are collected.
    release: Option<Enums>,
    /// How often each enum of the release was made.
    made: BTreeMap<(String, Vec<String>), usize>,
    count: u64,
    options: u64,
    /// The number of variants of the enum that a sample consists of; zero for a struct.
    outermost: Option<usize>,
}

/// A value can't be made.
#[derive(Debug)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

impl de::Error for Error {
    fn custom<T: std::fmt::Display>(text: T) -> Self {
        Self(text.to_string())
    }
}

impl Maker {
    pub fn new(release: Option<Enums>) -> Self {
        Self {
            release,
            made: BTreeMap::new(),
            count: 0,
            options: 0,
            outermost: None,
        }
    }

    /// Makes four samples, or two of each variant of an enum.
    pub fn samples<T: DeserializeOwned>(&mut self) -> Vec<T> {
        let first = self.sample();
        let variants = self.outermost.take().unwrap_or(2);
        let rest = 1..(2 * variants).max(4);
        let rest: Vec<T> = rest.map(|_| self.sample()).collect();
        std::iter::once(first).chain(rest).collect()
    }

    fn sample<T: DeserializeOwned>(&mut self) -> T {
        self.outermost = None;
        let value = T::deserialize(&mut *self);
        value.unwrap_or_else(|e| panic!("{}: {e}", std::any::type_name::<T>()))
    }

    /// Returns how often each enum was made, by its name and variants.
    pub fn made(&self) -> &BTreeMap<(String, Vec<String>), usize> {
        &self.made
    }

    fn next(&mut self) -> u64 {
        self.outermost.get_or_insert(0);
        self.count += 1;
        self.count
    }

    /// Returns the variants of an enum that the release has.
    fn variants(&self, name: &str, today: &[&'static str]) -> Vec<String> {
        let Some(release) = &self.release else {
            return today.iter().map(|v| (*v).to_owned()).collect();
        };
        let lists = release.get(name).into_iter().flatten();
        let is_prefix = |list: &&Vec<String>| {
            list.len() <= today.len() && list.iter().zip(today).all(|(a, b)| a == b)
        };
        let found = lists.filter(is_prefix).max_by_key(|list| list.len());
        found
            .unwrap_or_else(|| panic!("the variants of `{name}` in the release changed: {today:?}"))
            .clone()
    }
}

macro_rules! numbers {
    ($($method:ident $visit:ident $type:ty),*) => {$(
        fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
            let value = self.next() % (<$type>::MAX as u64);
            visitor.$visit(value as $type)
        }
    )*};
}

impl<'de> de::Deserializer<'de> for &mut Maker {
    type Error = Error;

    numbers!(
        deserialize_u8 visit_u8 u8,
        deserialize_u16 visit_u16 u16,
        deserialize_u32 visit_u32 u32,
        deserialize_i8 visit_i8 i8,
        deserialize_i16 visit_i16 i16,
        deserialize_i32 visit_i32 i32
    );

    fn deserialize_u64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let value = self.next();
        visitor.visit_u64(value * 1_000_003)
    }

    fn deserialize_i64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let value = self.next() as i64;
        visitor.visit_i64(if value % 2 == 0 {
            -value * 70_001
        } else {
            value
        })
    }

    fn deserialize_f32<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let value = self.next();
        visitor.visit_f32(value as f32 + 0.5)
    }

    fn deserialize_f64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let value = self.next();
        visitor.visit_f64(value as f64 + 0.5)
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let value = self.next();
        visitor.visit_bool(value.is_multiple_of(2))
    }

    fn deserialize_char<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_char('c')
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        self.deserialize_string(visitor)
    }

    /// The text is at once a name, a request id and a digest in hexadecimal.
    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let value = self.next();
        visitor.visit_string(format!("{value:064x}"))
    }

    fn deserialize_bytes<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let value = self.next();
        visitor.visit_byte_buf(vec![value as u8, 2, 3])
    }

    fn deserialize_byte_buf<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        self.deserialize_bytes(visitor)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        self.options += 1;
        if self.options.is_multiple_of(4) {
            visitor.visit_none()
        } else {
            visitor.visit_some(self)
        }
    }

    fn deserialize_unit<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_unit()
    }

    fn deserialize_unit_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_unit()
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let left = 1 + (self.next() % 2) as usize;
        visitor.visit_seq(Items { maker: self, left })
    }

    fn deserialize_tuple<V: Visitor<'de>>(
        self,
        left: usize,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_seq(Items { maker: self, left })
    }

    fn deserialize_tuple_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        left: usize,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_seq(Items { maker: self, left })
    }

    fn deserialize_map<V: Visitor<'de>>(self, _: V) -> Result<V::Value, Error> {
        Err(de::Error::custom("maps are not used in these types"))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let left = fields.len();
        visitor.visit_seq(Items { maker: self, left })
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let variants = self.variants(name, variants);
        self.outermost.get_or_insert(variants.len());
        let made = self.made.entry((name.to_owned(), variants.clone()));
        let made = made.or_default();
        let index = (*made % variants.len()) as u32;
        *made += 1;
        visitor.visit_enum(Variant { maker: self, index })
    }

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, Error> {
        Err(de::Error::custom("the type must name what it wants"))
    }

    fn deserialize_identifier<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        self.deserialize_any(visitor)
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_unit()
    }

    /// The types are encoded by postcard, for which some have a shorter form.
    fn is_human_readable(&self) -> bool {
        false
    }

    fn deserialize_i128<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let value = self.next();
        visitor.visit_i128(-i128::from(value) << 70)
    }

    fn deserialize_u128<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let value = self.next();
        visitor.visit_u128(u128::from(value) << 70)
    }
}

struct Items<'a> {
    maker: &'a mut Maker,
    left: usize,
}

impl<'de> de::SeqAccess<'de> for Items<'_> {
    type Error = Error;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, Error> {
        if self.left == 0 {
            return Ok(None);
        }
        self.left -= 1;
        seed.deserialize(&mut *self.maker).map(Some)
    }
}

struct Variant<'a> {
    maker: &'a mut Maker,
    index: u32,
}

impl<'de, 'a> de::EnumAccess<'de> for Variant<'a> {
    type Error = Error;
    type Variant = &'a mut Maker;

    fn variant_seed<T: DeserializeSeed<'de>>(
        self,
        seed: T,
    ) -> Result<(T::Value, &'a mut Maker), Error> {
        let index: de::value::U32Deserializer<Error> = self.index.into_deserializer();
        Ok((seed.deserialize(index)?, self.maker))
    }
}

impl<'de> de::VariantAccess<'de> for &mut Maker {
    type Error = Error;

    fn unit_variant(self) -> Result<(), Error> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, seed: T) -> Result<T::Value, Error> {
        seed.deserialize(self)
    }

    fn tuple_variant<V: Visitor<'de>>(self, left: usize, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_seq(Items { maker: self, left })
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let left = fields.len();
        visitor.visit_seq(Items { maker: self, left })
    }
}
