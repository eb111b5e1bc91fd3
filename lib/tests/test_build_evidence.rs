//! Tests of the evidence on a new build.
