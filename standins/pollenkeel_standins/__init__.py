"""Stand-ins for the systems around pollenkeel, for tests, benchmarks and the demo.

A stand-in is a small HTTP server that implements the interface of an outside system
(the platform's stores, workers and runners, and the upstreams), records what actually
ran, and can be told to fail through its fault switches.
"""
