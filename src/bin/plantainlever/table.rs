//! Tables for a terminal of 80 columns.

use std::fmt;

/// Longest line in characters.
pub const MAX_WIDTH: usize = 80;

/// Space between two columns.
const COLUMN_GAP: &str = "  ";

/// Smallest width to which a column is cut. The first column is never cut, because its IDs are arguments of other
/// commands.
const MIN_COLUMN_WIDTH: usize = 8;

/// Rows of text with a header.
#[derive(Clone, Debug)]
pub struct Table {
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub fn new(header: &[&'static str]) -> Self {
        Self { header: header.to_vec(), rows: Vec::new() }
    }

    /// Adds a row with as many cells as the header has.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the widths of the columns. The widest are narrowed until a row fits a line.
    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self.header.iter().map(|cell| cell.chars().count()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let gaps = COLUMN_GAP.len() * widths.len().saturating_sub(1);
        while widths.iter().sum::<usize>() + gaps > MAX_WIDTH {
            match widths.iter_mut().skip(1).max() {
                Some(widest) if *widest > MIN_COLUMN_WIDTH => *widest -= 1,
                _ => break,
            }
        }
        widths
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        write_row(f, &widths, self.header.iter().copied())?;
        for row in &self.rows {
            write_row(f, &widths, row.iter().map(String::as_str))?;
        }
        Ok(())
    }
}

fn write_row<'a>(
    f: &mut fmt::Formatter<'_>,
    widths: &[usize],
    cells: impl Iterator<Item = &'a str>,
) -> fmt::Result {
    let mut line = String::new();
    for (cell, width) in cells.zip(widths) {
        if !line.is_empty() {
            line.push_str(COLUMN_GAP);
        }
        line.push_str(&format!("{:<width$}", shorten(cell, *width)));
    }
    writeln!(f, "{}", line.trim_end())
}

/// Cuts a text that is too long and appends "...". Replaces line breaks and tabs, which would break the table.
fn shorten(text: &str, width: usize) -> String {
    let text = text.replace(['\n', '\r', '\t'], " ");
    if text.chars().count() <= width {
        return text;
    }
    let kept: String = text.chars().take(width.saturating_sub(3)).collect();
    format!("{kept}...")
}
