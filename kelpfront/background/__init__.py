"""Background work: which of it may run now, within a budget. Nothing uses it yet (it waits for issue 16).

`planner` decides; running the steps is left to whoever holds the planner.
"""
