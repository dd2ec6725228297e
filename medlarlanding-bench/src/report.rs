//! Machine-readable results, Markdown reports and plots.
