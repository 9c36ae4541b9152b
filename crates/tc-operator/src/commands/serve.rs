//! `tanagercroft serve`.

