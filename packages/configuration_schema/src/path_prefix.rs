//! Which paths a route's path prefix takes.

/// A route's `path_prefix` as it is matched: it takes all paths below its directory. The directory's own path is taken
/// only if the prefix has no slash at its end.
/// Example: `PathPrefix::of("/proof/")` takes `/proof/1` and `/proof/`, and not `/proof`, which `/proof` takes too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathPrefix<'text> {
    /// The prefix without the slash at its end. Only one slash is cut off: `/proof//` has the directory `/proof/`.
    pub directory: &'text str,
    /// Whether the path that equals the directory is taken.
    pub takes_directory: bool,
}

impl PathPrefix<'_> {
    /// Reads a `path_prefix`. Example: `PathPrefix::of("/").directory.is_empty()`.
    pub fn of(path_prefix: &str) -> PathPrefix<'_> {
        match path_prefix.strip_suffix('/') {
            Some(directory) => PathPrefix { directory, takes_directory: false },
            None => PathPrefix { directory: path_prefix, takes_directory: true },
        }
    }
}
