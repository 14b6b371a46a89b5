"""The shortest settings of a placer that can be used, for tests that put something wrong into them."""

MINIMAL_CONFIG = """
[kind small]
cores = 8
memory = 16
[class web]
effect = safe
aim = 1 s
deadline = 5 s
"""
