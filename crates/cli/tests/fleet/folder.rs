//! Configuration files of a test.

use std::path::PathBuf;

use super::sample;

/// Files of changed samples, removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    /// Folder named after its test.
    pub fn new(name: &str) -> Self {
        let folder = format!("pumicecleat-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// The sample with another claim for its caller.
    pub fn with_claim(&self, claim: usize) -> String {
        self.with("claim = 2", &format!("claim = {claim}"))
    }

    /// The sample with a part replaced.
    pub fn with(&self, from: &str, to: &str) -> String {
        let text = std::fs::read_to_string(sample("demo.toml")).unwrap();
        assert!(text.contains(from));
        let name: String = to.chars().filter(char::is_ascii_alphanumeric).collect();
        self.write(&format!("{name}.toml"), &text.replace(from, to))
    }

    /// A file of this text; its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let file = self.0.join(name);
        std::fs::write(&file, text).unwrap();
        file.to_string_lossy().into_owned()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that is left over harms nothing.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
