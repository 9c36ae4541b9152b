//! Plots and the page of runs.

mod html;
mod plot;

pub use html::page;
pub(crate) use plot::comparison_svg;
