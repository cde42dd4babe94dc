//! The identity of a data folder: the instance that it belongs to and its incarnation.

use std::path;

use crate::error;
use crate::id;
use crate::macros;
use crate::replica::core::message;
use crate::replica::storage::file;
use crate::replica::storage::file_system;

const FILE_NAME: &str = "member.json";

const VERSION: u32 = 1;

macros::data! {
    #[serde(deny_unknown_fields)]
    struct Identity {
        version: u32,
        instance: id::InstanceId,
        incarnation: id::Incarnation,
    }
}

/// Reads the identity of a folder, or creates one with a random incarnation in an empty folder.
///
/// # Errors
///
/// Fails when the folder belongs to another instance or version, when it has other files but no
/// identity, or when the identity can't be read or written.
pub fn read_or_create(
    files: &dyn file_system::FileSystem,
    folder: &path::Path,
    instance: &id::InstanceId,
) -> error::Result<message::NodeId> {
    let names = file::names(files, folder)?;
    let identity = if names.iter().any(|n| n == FILE_NAME) {
        read(files, &folder.join(FILE_NAME))?
    } else if names.iter().all(|n| is_ignorable(n)) {
        file::sync_ancestors(files, folder)?;
        create(files, folder, instance)?
    } else {
        let remedy = "it has files but no member.json; name an empty folder, or put the file back";
        return Err(error::Error::bad_value(
            "data_folder",
            folder.display(),
            remedy,
        ));
    };
    if identity.version != VERSION {
        let remedy = "run the version of the program that created the data folder";
        return Err(error::Error::bad_value("version", identity.version, remedy));
    }
    if identity.instance != *instance {
        let remedy = format!(
            "the data folder belongs to `{}`; name another",
            identity.instance
        );
        return Err(error::Error::bad_value("instance", instance, remedy));
    }
    Ok(message::NodeId {
        instance: identity.instance,
        incarnation: identity.incarnation,
    })
}

fn is_ignorable(name: &str) -> bool {
    name == super::LOCK_FILE_NAME || name.ends_with(file::TEMP_SUFFIX)
}

fn read(files: &dyn file_system::FileSystem, path: &path::Path) -> error::Result<Identity> {
    let text = files
        .read(path)
        .map_err(|e| file::io_error("reading", path, e))?;
    serde_json::from_slice(&text).map_err(|e| {
        let remedy = "while the other members are healthy, empty the data folder";
        error::Error::damaged(format!("{}: {e}", path.display()), remedy)
    })
}

fn create(
    files: &dyn file_system::FileSystem,
    folder: &path::Path,
    instance: &id::InstanceId,
) -> error::Result<Identity> {
    let identity = Identity {
        version: VERSION,
        instance: instance.clone(),
        incarnation: id::Incarnation::random(),
    };
    let text = serde_json::to_vec(&identity)
        .map_err(|e| error::Error::damaged(format!("identity ({e})"), "report this fault"))?;
    file::replace(files, folder, FILE_NAME, &text)?;
    Ok(identity)
}
