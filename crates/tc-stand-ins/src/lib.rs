//! Fakes of the platform, engines, pools, plain services and the weight store, for tests and experiments.
