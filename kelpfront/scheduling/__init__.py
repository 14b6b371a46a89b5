"""The scheduling decisions of one placer.

`scheduler.Scheduler` handles the events of module `events` in order and returns actions of module `actions`;
`settings` holds its configuration. Pure Python without I/O, clock or third-party imports.
"""
