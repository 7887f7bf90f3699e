//! The file operations that the record file rests on, so that tests can lose power between any two.

use crate::RecordError;
use error_stack::{Report, ResultExt};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const LOCK_NAME: &str = "lock";

/// A folder of files. Until the matching sync returned, each operation may be lost with the power,
/// each one by itself.
pub trait Folder {
    /// An open file that is written at its end.
    type File;

    /// The whole of a file; `None` if there is none. Example: `folder.read("records")?`.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Makes a new, empty file; a file that has the name loses the name and is left as it is.
    /// Example: `let mut file = folder.create("records.rewrite")?;`.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Appends bytes. Example: `folder.append(&mut file, b"head")?`.
    fn append(&self, file: &mut Self::File, added_bytes: &[u8]) -> io::Result<()>;

    /// Makes the file's bytes last. Example: `folder.sync(&mut file)?`.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;

    /// Gives a file another name, in place of the file that had it.
    /// Example: `folder.rename("records.rewrite", "records")?`.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Takes a name away; no error if there is none. Example: `folder.remove("records.rewrite")?`.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes the names last. Example: `folder.sync_names()?`.
    fn sync_names(&self) -> io::Result<()>;
}

/// A folder of the operating system, locked against other processes as long as one copy of this lives.
/// Example: `DiskFolder::lock(Path::new("data"))?`.
#[derive(Clone, Debug)]
pub struct DiskFolder {
    path: PathBuf,
    _lock: Arc<File>,
}

impl DiskFolder {
    /// Makes the folder if need be and locks it until the value and its copies are dropped.
    ///
    /// Errors: `InUse` if another process holds it, `Storage` if the system refuses.
    /// Example: `DiskFolder::lock(Path::new("data"))?`.
    pub fn lock(path: &Path) -> Result<DiskFolder, Report<RecordError>> {
        make_lasting_folder(path).change_context(RecordError::Storage)?;
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

/// A folder that was made lasts only once its parent is synced.
fn make_lasting_folder(path: &Path) -> io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    let parent = match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent,
        _ => Path::new("."),
    };
    make_lasting_folder(parent)?;
    match fs::create_dir(path) {
        Err(failure) if failure.kind() != io::ErrorKind::AlreadyExists => return Err(failure),
        _ => {}
    }
    File::open(parent)?.sync_all()
}

fn unless_missing<T>(outcome: io::Result<T>) -> io::Result<Option<T>> {
    match outcome {
        Ok(value) => Ok(Some(value)),
        Err(failure) if failure.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(failure) => Err(failure),
    }
}

impl Folder for DiskFolder {
    type File = File;

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        unless_missing(fs::read(self.path.join(name)))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        // Not truncated: after a loss of power the name may be a second one of the file in use.
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
        unless_missing(fs::remove_file(self.path.join(name))).map(|_| ())
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
