//! The magnoliactl command-line tool.
