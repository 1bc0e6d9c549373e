//! Tables that fit a terminal of 80 columns.

use std::fmt;

/// Widest line.
pub const WIDTH: usize = 80;

/// Between two columns.
const GAP: &str = "  ";

/// Narrowest width to which a column is cut. The first column is never cut: its ids are arguments of other commands.
const MIN_COLUMN: usize = 8;

/// Rows of text with a header.
#[derive(Clone, Debug)]
pub struct Table {
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(header: &[&'static str]) -> Self {
        Self { header: header.to_vec(), rows: Vec::new() }
    }

    /// Adds a row with as many cells as the header has.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Widths of the columns, the widest of them narrowed until a line fits.
    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self.header.iter().map(|cell| cell.chars().count()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let gaps = GAP.len() * widths.len().saturating_sub(1);
        while widths.iter().sum::<usize>() + gaps > WIDTH {
            match widths.iter_mut().skip(1).max() {
                Some(widest) if *widest > MIN_COLUMN => *widest -= 1,
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
            line.push_str(GAP);
        }
        line.push_str(&format!("{:<width$}", shorten(cell, *width)));
    }
    writeln!(f, "{}", line.trim_end())
}

/// The text, cut with a mark if it is too long. Line breaks would break the table.
fn shorten(text: &str, width: usize) -> String {
    let text = text.replace(['\n', '\r', '\t'], " ");
    if text.chars().count() <= width {
        return text;
    }
    let kept: String = text.chars().take(width.saturating_sub(3)).collect();
    format!("{kept}...")
}
