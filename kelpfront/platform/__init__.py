"""A placer on a hosting platform: JSON lines to clients and machines, endpoint lists by long polling.

It is started by `python -m kelpfront.platform` or `kelpfront platform`; docs/design/platform.md describes its
parts and docs/operators/platform.md how to run it. All scheduling decisions are made by
`kelpfront.scheduling`.
"""
