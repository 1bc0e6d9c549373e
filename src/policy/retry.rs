//! Backoff and retry budgets.
