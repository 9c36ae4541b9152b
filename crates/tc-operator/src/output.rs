//! Output of a command: lines, tables and JSON.

use std::io::Write;

use serde::Serialize;

use crate::error::CommandError;

const COLUMN_GAP: usize = 2;

/// Where a command writes to.
pub(crate) struct Output<'a> {
    pub(crate) out: &'a mut dyn Write,
    pub(crate) err: &'a mut dyn Write,
    /// Whether `out` is a terminal: tables are aligned there, and tab-separated elsewhere so that scripts can cut
    /// them.
    pub(crate) terminal: bool,
}

impl Output<'_> {
    /// One line of the result.
    pub(crate) fn line(&mut self, line: impl AsRef<str>) -> Result<(), CommandError> {
        writeln!(self.out, "{}", line.as_ref())?;
        Ok(())
    }

    /// One line beside the result, such as progress.
    pub(crate) fn note(&mut self, line: impl AsRef<str>) -> Result<(), CommandError> {
        writeln!(self.err, "{}", line.as_ref())?;
        Ok(())
    }

    /// The result as JSON.
    pub(crate) fn json(&mut self, value: &impl Serialize) -> Result<(), CommandError> {
        serde_json::to_writer_pretty(&mut *self.out, value).map_err(std::io::Error::from)?;
        writeln!(self.out)?;
        Ok(())
    }

    /// The result as a table.
    pub(crate) fn table(
        &mut self,
        header: &[&str],
        rows: &[Vec<String>],
    ) -> Result<(), CommandError> {
        let widths = self.terminal.then(|| widths(header, rows));
        let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
        self.row(&header, widths.as_deref())?;
        for row in rows {
            self.row(row, widths.as_deref())?;
        }
        Ok(())
    }

    fn row(&mut self, cells: &[String], widths: Option<&[usize]>) -> Result<(), CommandError> {
        let Some(widths) = widths else {
            return self.line(cells.join("\t"));
        };
        let padded = cells.iter().zip(widths);
        let padded: Vec<String> = padded
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        self.line(padded.concat().trim_end())
    }
}

fn widths(header: &[&str], rows: &[Vec<String>]) -> Vec<usize> {
    let columns = header.iter().enumerate();
    columns
        .map(|(i, head)| {
            let cells = rows.iter().filter_map(|row| row.get(i));
            let widest = cells.map(|cell| cell.chars().count()).max();
            widest.unwrap_or(0).max(head.chars().count()) + COLUMN_GAP
        })
        .collect()
}
