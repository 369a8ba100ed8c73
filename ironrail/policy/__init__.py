"""Every decision of a router: pure modules without I/O and without a clock.

Where to look when a decision is to be explained:

* why a request was sent to this server: `candidate_selection`, by the ring of `hash_ring`;
* why a server was passed over: `outlier_detection` (ejected), `concurrency_limit` (at its limit),
  `slow_start` (warming up), `zone_latency` (too far), `discovery_freshness` (stale endpoint list);
* why a request was retried, or not: `retry_policy` and `retry_budget`;
* why a request was hedged, or not: `hedging`;
* why a request was rejected: `admission` (load shedding, tenant rates), `request_lifecycle`;
* why a request waited for the origin: `origin_queue`.
"""
