"""
Plays of streams with numbered events: real gateways, replicas that are processes, and
disruptions that end either in the middle of streams.
"""
