//! Measurements: the path, the policy, and the slopes behind docs/CAPACITY.md.
