"""The placer in service on a platform: JSON lines from owners and to machines, a coordinator's list.

Started by `python -m kelpfront.platform` or `kelpfront platform`; see docs/operators/platform.md.
"""
