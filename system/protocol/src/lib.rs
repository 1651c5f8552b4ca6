//! What the rollout scheduler speaks to the outside: settings, configuration, heartbeats, orders, batch jobs.
