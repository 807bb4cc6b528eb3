"""Where a chat goes: the order of engines, the home of an engine, and the hint."""
