//! Parsing of metrics in the Prometheus text format.

use std::collections::BTreeMap;

/// Sample values, keyed by the metric's name and labels as they appear in the text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Samples {
    values: BTreeMap<String, f64>,
}

impl Samples {
    /// Parses metrics in the text format, skipping comments and lines that can't be parsed.
    pub fn parse(text: &str) -> Self {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let values = lines.filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        });
        Self {
            values: values.collect(),
        }
    }

    /// Returns the value of a metric without labels.
    pub fn value(&self, name: &str) -> Option<f64> {
        self.values.get(name).copied()
    }

    /// Returns the sum over all labels of a metric.
    pub fn sum(&self, name: &str) -> f64 {
        self.labelled(name).map(|(_, value)| value).sum()
    }

    /// Returns the largest value over all labels of a metric.
    pub fn max(&self, name: &str) -> Option<f64> {
        let values = self.labelled(name).map(|(_, value)| value);
        values.max_by(f64::total_cmp)
    }

    fn labelled(&self, name: &str) -> impl Iterator<Item = (&str, f64)> {
        self.values.iter().filter_map(move |(series, value)| {
            let labels = series.strip_prefix(name)?;
            let is_same_metric = labels.is_empty() || labels.starts_with('{');
            is_same_metric.then_some((labels, *value))
        })
    }
}
