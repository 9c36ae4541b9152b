//! Command line of the shipped binary: the serve command, configuration commands, operator commands and the admin interface.
