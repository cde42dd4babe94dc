//! Decodes JSON and reports all invalid fields at once, where serde stops at the first.
//!
//! Each value of the document replaces its counterpart in a valid sample of the type, one at a
//! time; if the sample no longer decodes, the value is invalid.

use serde::de;
use serde_json::Value;

use crate::error;

/// Decodes a document; `sample` is a valid document of the same type with all its fields.
///
/// # Errors
///
/// Fails if a field is unknown, missing or invalid; the error names the path, the value and the
/// remedy for each.
pub fn decode<T>(document: &Value, sample: &Value) -> error::Result<T>
where
    T: de::DeserializeOwned,
{
    let mut checker = Checker {
        sample,
        decodes: |value: &Value| T::deserialize(value).map(drop),
        faults: Vec::new(),
    };
    checker.check("", "", document);
    if !checker.faults.is_empty() {
        return Err(error::Error::several(checker.faults));
    }
    T::deserialize(document).map_err(|e| {
        let remedy = "compare it with the documented example";
        error::Error::bad_value("document", e, remedy)
    })
}

struct Checker<'a, F> {
    sample: &'a Value,
    decodes: F,
    faults: Vec<error::Error>,
}

impl<F: Fn(&Value) -> serde_json::Result<()>> Checker<'_, F> {
    /// Checks a value and what it contains.
    ///
    /// `path` names it in errors, and `pointer` is the JSON pointer of its counterpart in the
    /// sample.
    fn check(&mut self, path: &str, pointer: &str, value: &Value) {
        let example = self.sample.pointer(pointer).unwrap_or(&Value::Null);
        match (value, example) {
            (Value::Object(fields), Value::Object(known)) => {
                self.check_fields(path, pointer, fields, known);
            }
            (Value::Array(items), Value::Array(samples)) if starts_with_object(samples) => {
                for (i, item) in items.iter().enumerate() {
                    self.check(&format!("{path}[{i}]"), &format!("{pointer}/0"), item);
                }
            }
            _ => self.check_value(path, pointer, value),
        }
    }

    fn check_fields(
        &mut self,
        path: &str,
        pointer: &str,
        fields: &serde_json::Map<String, Value>,
        known: &serde_json::Map<String, Value>,
    ) {
        for (name, value) in fields {
            let path = join(path, name);
            if known.contains_key(name) {
                self.check(&path, &format!("{pointer}/{name}"), value);
            } else {
                let names: Vec<_> = known.keys().map(String::as_str).collect();
                let remedy = format!("remove this unknown field; known are {}", names.join(", "));
                self.faults
                    .push(error::Error::bad_value(path, value, remedy));
            }
        }
        for name in known.keys().filter(|name| !fields.contains_key(*name)) {
            self.check_missing(&join(path, name), pointer, name);
        }
    }

    /// Checks that the sample still decodes with `value` at `pointer`.
    fn check_value(&mut self, path: &str, pointer: &str, value: &Value) {
        let mut candidate = self.sample.clone();
        let Some(target) = candidate.pointer_mut(pointer) else {
            return;
        };
        let example = std::mem::replace(target, value.clone());
        let Err(e) = (self.decodes)(&candidate) else {
            return;
        };
        let remedy = format!("{e}; write it like {example}");
        let path = if path.is_empty() { "document" } else { path };
        self.faults
            .push(error::Error::bad_value(path, value, remedy));
    }

    /// Checks that the sample still decodes without the field `name` of the object at `pointer`.
    fn check_missing(&mut self, path: &str, pointer: &str, name: &str) {
        let mut candidate = self.sample.clone();
        let parent = candidate
            .pointer_mut(pointer)
            .and_then(Value::as_object_mut);
        let Some(example) = parent.and_then(|parent| parent.remove(name)) else {
            return;
        };
        if (self.decodes)(&candidate).is_err() {
            let remedy = format!("add this field, like {example}");
            self.faults
                .push(error::Error::bad_value(path, "(missing)", remedy));
        }
    }
}

fn starts_with_object(samples: &[Value]) -> bool {
    samples.first().is_some_and(Value::is_object)
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}
