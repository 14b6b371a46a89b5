"""The shortest valid settings of a placer, to which tests add invalid ones."""

MINIMAL_CONFIG = """
[kind small]
cores = 8
memory = 16
[class web]
effect = safe
aim = 1 s
deadline = 5 s
"""
