"""Request path: admission by team, choice of upstream, claims and answers.

A *slot* is the right to send one request to an upstream. A *claim* is a stored record
that binds the idempotency key of a request to one attempt, so that a repeated request
does not run again.
"""
