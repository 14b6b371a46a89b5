"""The placer in service on a platform: JSON lines from clients and to machines, endpoint lists by long polls.

Started by `python -m kelpfront.platform` or `kelpfront platform`; see docs/design/platform.md for the parts
and docs/operators/platform.md for running it. Every decision is made by `kelpfront.scheduling`.
"""
