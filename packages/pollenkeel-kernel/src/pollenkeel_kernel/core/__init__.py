"""Basic modules used by every process: clocks, codes, messages, transport, logs."""
