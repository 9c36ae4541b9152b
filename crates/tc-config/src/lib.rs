//! Merges a folder of configuration files in file-name order and validates the result.
