//! The file operations that the record file uses, as a trait: tests simulate a loss of power between any two.

use crate::RecordError;
use error_stack::{Report, ResultExt};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const LOCK_NAME: &str = "lock";

/// A folder of files. Until the matching sync has returned, each operation may be lost in a power failure,
/// independently of the others.
pub trait Folder {
    /// An open file that is appended to.
    type File;

    /// The whole content of a file; `None` if it does not exist. Example: `folder.read("records")?`.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Creates a new, empty file. An existing file of this name loses the name, but its content is not changed.
    /// Example: `let mut file = folder.create("records.rewrite")?;`.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Appends bytes. Example: `folder.append(&mut file, b"head")?`.
    fn append(&self, file: &mut Self::File, added_bytes: &[u8]) -> io::Result<()>;

    /// Makes the file's content durable. Example: `folder.sync(&mut file)?`.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;

    /// Renames a file, replacing any file of the new name.
    /// Example: `folder.rename("records.rewrite", "records")?`.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a name; no error if it does not exist. Example: `folder.remove("records.rewrite")?`.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes the changes of names durable. Example: `folder.sync_names()?`.
    fn sync_names(&self) -> io::Result<()>;
}

/// A folder of the file system, locked against other processes until the last clone of this value is dropped.
/// Example: `DiskFolder::lock(Path::new("data"))?`.
#[derive(Clone, Debug)]
pub struct DiskFolder {
    path: PathBuf,
    _lock: Arc<File>,
}

impl DiskFolder {
    /// Creates the folder if necessary and locks it until this value and its clones are dropped.
    ///
    /// Errors: `InUse` if another process has locked it, `Storage` if a file operation fails.
    /// Example: `DiskFolder::lock(Path::new("data"))?`.
    pub fn lock(path: &Path) -> Result<DiskFolder, Report<RecordError>> {
        create_durable_folder(path).change_context(RecordError::Storage)?;
        let lock_file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_NAME))
            .change_context(RecordError::Storage)?;
        if lock_file.try_lock().is_err() {
            return Err(Report::new(RecordError::InUse));
        }
        Ok(DiskFolder { path: path.to_path_buf(), _lock: Arc::new(lock_file) })
    }
}

/// Creates a folder and syncs its parent: only then is the new folder durable.
fn create_durable_folder(path: &Path) -> io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    let parent = match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent,
        _ => Path::new("."),
    };
    create_durable_folder(parent)?;
    match fs::create_dir(path) {
        Err(failure) if failure.kind() != io::ErrorKind::AlreadyExists => return Err(failure),
        _ => {}
    }
    File::open(parent)?.sync_all()
}

fn none_if_missing<T>(outcome: io::Result<T>) -> io::Result<Option<T>> {
    match outcome {
        Ok(value) => Ok(Some(value)),
        Err(failure) if failure.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(failure) => Err(failure),
    }
}

impl Folder for DiskFolder {
    type File = File;

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        none_if_missing(fs::read(self.path.join(name)))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        // Not truncated: after a power failure the name may be a second link to the file in use.
        self.remove(name)?;
        OpenOptions::new().create_new(true).append(true).open(self.path.join(name))
    }

    fn append(&self, file: &mut File, added_bytes: &[u8]) -> io::Result<()> {
        file.write_all(added_bytes)
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        none_if_missing(fs::remove_file(self.path.join(name))).map(|_| ())
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
