//! Writes the golden files of a release; see README.md. It runs in the release's own source tree.

#[path = "golden/kinds.rs"]
mod kinds;
#[path = "golden/values.rs"]
mod values;

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use values::{Enums, Maker};

struct Writer {
    folder: PathBuf,
    /// How often each enum was made.
    made: BTreeMap<(String, Vec<String>), usize>,
}

impl Writer {
    fn add_enums(&mut self, maker: &Maker) {
        for (key, count) in maker.made() {
            *self.made.entry(key.clone()).or_default() += count;
        }
    }

    /// Returns the variants of all enums.
    fn enums(&self) -> Enums {
        let mut enums = Enums::new();
        let left: Vec<_> = self.made.iter().filter(|((_, v), n)| **n < v.len()).collect();
        assert!(left.is_empty(), "visit these types themselves: {left:?}");
        for (name, variants) in self.made.keys() {
            enums.entry(name.clone()).or_default().push(variants.clone());
        }
        enums
    }
}

impl kinds::Visit for Writer {
    fn visit<T>(&mut self, name: &str)
    where
        T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug + 'static,
    {
        let mut maker = Maker::new(None);
        let mut text = String::new();
        for value in maker.samples::<T>() {
            let bytes = postcard::to_stdvec(&value).unwrap();
            assert_eq!(postcard::from_bytes::<T>(&bytes).unwrap(), value);
            text.push_str(&hex::encode(bytes));
            text.push('\n');
        }
        fs::write(self.folder.join(format!("{name}.hex")), text).unwrap();
        self.add_enums(&maker);
    }
}

#[test]
fn write() {
    let folder = PathBuf::from(std::env::var("GOLDEN_FOLDER").unwrap());
    fs::create_dir_all(&folder).unwrap();
    let mut writer = Writer {
        folder,
        made: BTreeMap::new(),
    };
    kinds::visit_all(&mut writer);
    let mut maker = Maker::new(None);
    let batches = kinds::batches(&mut maker);
    writer.add_enums(&maker);
    kinds::fill(&writer.folder.join("data"), &batches);
    let enums = serde_json::to_string_pretty(&writer.enums()).unwrap();
    fs::write(writer.folder.join("enums.json"), enums + "\n").unwrap();
}
