//! Between instances: membership, homes, permits, workspace shares and configuration spread.
