"""Decision logic: pure state machines without I/O; callers pass in the time."""
