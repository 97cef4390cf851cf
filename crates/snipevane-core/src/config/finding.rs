//! Findings of the validation of a file, each with its location and a hint.

use std::error::Error;
use std::fmt;

use smol_str::SmolStr;

/// A problem in a file, with its location and a hint on how to fix it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// JSON pointer of the location.
    pub pointer: SmolStr,
    /// Description of the problem.
    pub message: String,
    /// How to fix the problem; may be empty.
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

/// All findings about one file; also serves as the error of its validation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Name of the file.
    pub file: String,
    /// The findings, in the order in which they were added until [`sort`](Self::sort) is called.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Creates an empty list for a file.
    pub fn new(file: impl Into<String>) -> Self {
        Self {
            file: file.into(),
            list: Vec::new(),
        }
    }

    /// Appends a finding.
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

    /// Sorts the findings by location; numeric segments of a location are compared as numbers.
    pub fn sort(&mut self) {
        self.list.sort_by_cached_key(|finding| {
            let segment = |text: &str| (text.parse::<usize>().ok(), SmolStr::new(text));
            finding.pointer.split('/').map(segment).collect::<Vec<_>>()
        });
    }

    /// Returns `value` if there are no findings, and the findings otherwise.
    ///
    /// # Errors
    ///
    /// Returns all findings if there are any.
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
