"""The machine side: the protocol between placers and machines, and how a machine decides on what it is asked.

`messages` is shared with the placer. `node` (admission, starts, drain) and `outbox` (what placers are told)
do no I/O; `server` puts them on a socket.
"""
