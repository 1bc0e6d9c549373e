//! `/v1/status`: what an operator looks at first.
