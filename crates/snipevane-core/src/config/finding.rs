//! What is wrong with a file, all of it at once, each with its place.

use std::error::Error;
use std::fmt;

use smol_str::SmolStr;

/// One thing that is wrong, with its place and a hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// JSON pointer of the place.
    pub pointer: SmolStr,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = if self.pointer.is_empty() {
            "/"
        } else {
            self.pointer.as_str()
        };
        write!(f, "{place}: {}", self.message)?;
        if !self.hint.is_empty() {
            write!(f, "; {}", self.hint)?;
        }
        Ok(())
    }
}

/// All findings about one file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Name of the file.
    pub file: String,
    /// The findings, in order of their places.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Starts an empty list for a file.
    pub fn new(file: impl Into<String>) -> Self {
        Self {
            file: file.into(),
            list: Vec::new(),
        }
    }

    /// Adds a finding.
    pub fn add(
        &mut self,
        pointer: impl Into<SmolStr>,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        let finding = Finding {
            pointer: pointer.into(),
            message: message.into(),
            hint: hint.into(),
        };
        self.list.push(finding);
    }

    /// Sorts the findings by their places; numbers in a place count as numbers.
    pub fn sort(&mut self) {
        self.list.sort_by_cached_key(|finding| {
            let segment = |text: &str| (text.parse::<usize>().ok(), SmolStr::new(text));
            finding.pointer.split('/').map(segment).collect::<Vec<_>>()
        });
    }

    /// Returns the value if nothing was found, all findings otherwise.
    ///
    /// # Errors
    ///
    /// Returns the list itself if it holds a finding.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.list.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.list.len();
        let noun = if count == 1 { "finding" } else { "findings" };
        write!(f, "{}: {count} {noun}", self.file)?;
        for finding in &self.list {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl Error for Findings {}
