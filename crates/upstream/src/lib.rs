//! Upstreams as traits and over HTTP: model engines in the vLLM form, plain services.
