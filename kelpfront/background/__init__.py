"""Planning of background work within a budget. It is not used yet: it is meant for issue 16.

`planner` chooses the next step; its caller runs the step.
"""
