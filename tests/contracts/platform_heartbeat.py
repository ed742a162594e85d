"""A heartbeat of a runner on the platform."""

HEARTBEAT = {
    "Backend": "desk",
    "Address": "10.0.0.1:80",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
    "Labels": ["a", "r1-3"],
    "ClockMs": 482113,
    "Seq": 4,
    "born": 1_700_000_000_000,
}
